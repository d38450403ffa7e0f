package explain

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

const (
	// documentVersion is the version of the object format.
	documentVersion = 1
	// slotCount is the number of objects per request. All of them are read to explain
	// a request. Hosts that map to the same slot merge their content.
	slotCount = 8
	// maxDocumentBytes bounds the decoded size of an object; beyond it the oldest
	// traces are left out.
	maxDocumentBytes = 16 << 20
	// maxMergedDecisions bounds the number of decisions of one team in an object.
	maxMergedDecisions = 512
	// requestDigestBytes is the number of bytes of the hash of a request id that are
	// used in the names of its objects.
	requestDigestBytes = 16
)

// Document is the content of one object: the decisions and traces that the hosts of
// one slot recorded for one request id.
type Document struct {
	Version int              `json:"version"`
	Request ident.RequestID  `json:"request"`
	Records []DocumentRecord `json:"records"`
}

// DocumentRecord holds the decisions and traces of one team that used the request id.
type DocumentRecord struct {
	Team      ident.Team `json:"customer"`
	Decisions []Decision `json:"decisions"`
	Traces    []Trace    `json:"traces"`
}

// objectName returns the name of the object of a slot. The request id is hashed,
// because it is chosen by the caller and may contain any characters.
func objectName(request ident.RequestID, slot int) string {
	sum := sha256.Sum256([]byte(request))
	return fmt.Sprintf("explain/v%d/%s/%d", documentVersion, hex.EncodeToString(sum[:requestDigestBytes]), slot)
}

// slotOf returns the slot of a host and team. It distributes the hosts and teams of
// a request id over its objects.
func slotOf(team ident.Team, host ident.HostID) int {
	return int(xxh3.HashString(string(team)+"\x00"+string(host)) % slotCount)
}

// merge adds the content of another document. The order of merges does not matter,
// and merging a document twice has no further effect.
func (d *Document) merge(other Document) {
	for _, record := range other.Records {
		i := slices.IndexFunc(d.Records, func(r DocumentRecord) bool { return r.Team == record.Team })
		if i < 0 {
			i = len(d.Records)
			d.Records = append(d.Records, DocumentRecord{Team: record.Team})
		}
		own := &d.Records[i]
		own.Decisions = MergeDecisions(own.Decisions, record.Decisions)
		own.Traces = MergeTraces(own.Traces, record.Traces)
	}
}

// MergeDecisions returns the decisions of all sources without duplicates, oldest
// first. Their times are truncated to milliseconds, the precision of the messages
// between nodes.
func MergeDecisions(sources ...[]Decision) []Decision {
	seen := map[Decision]bool{}
	var merged []Decision
	for _, source := range sources {
		for _, d := range source {
			d.At = d.At.UTC().Truncate(time.Millisecond)
			if !seen[d] {
				seen[d] = true
				merged = append(merged, d)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b Decision) int { return a.At.Compare(b.At) })
	return merged[:min(len(merged), maxMergedDecisions)]
}

// encode returns the compressed content of the object.
func (d *Document) encode() ([]byte, error) {
	d.limitTraces()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, newError(CodeMalformed).Wrapf(err, "encode the explanation of request %q", d.Request)
	}
	if err := w.Close(); err != nil {
		return nil, newError(CodeMalformed).Wrapf(err, "compress the explanation of request %q", d.Request)
	}
	return b.Bytes(), nil
}

// limitTraces removes the oldest traces that exceed the size limit.
func (d *Document) limitTraces() {
	bytes := 0
	for i := range d.Records {
		record := &d.Records[i]
		first := len(record.Traces)
		for first > 0 && bytes+len(record.Traces[first-1].Text) <= maxDocumentBytes/2 {
			first--
			bytes += len(record.Traces[first].Text)
		}
		record.Traces = record.Traces[first:]
	}
}

// decodeDocument decodes the compressed content of an object and checks its version
// and request id.
func decodeDocument(content []byte, request ident.RequestID) (Document, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return Document{}, newError(CodeMalformed).Wrapf(err, "decompress the explanation of request %q", request)
	}
	decoder := json.NewDecoder(io.LimitReader(r, maxDocumentBytes))
	decoder.DisallowUnknownFields()
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return Document{}, newError(CodeMalformed).Wrapf(err, "decode the explanation of request %q", request)
	}
	if d.Version != documentVersion || d.Request != request {
		return Document{}, newError(CodeMalformed).Errorf("the object holds version %d of request %q, want version %d of %q", d.Version, d.Request, documentVersion, request)
	}
	return d, nil
}
