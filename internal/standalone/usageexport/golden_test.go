package usageexport_test

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulleinrouter/internal/dataplane/usage"
	"mulleinrouter/internal/logging/logtest"
	"mulleinrouter/internal/standalone/goldentest"
	"mulleinrouter/internal/standalone/jsontext"
	"mulleinrouter/internal/standalone/usageexport"
)

var goldenSegments = []string{"usage-0000000000000001.seg", "usage-0000000000000002.seg"}

// goldenDir creates a folder as an earlier version left it, with two segments and, if wanted, the store. In the store,
// batch 1 is acknowledged and batch 2 is not.
func goldenDir(t *testing.T, withStore bool) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string][]byte{"source": []byte("0123456789abcdef\n")}
	for _, name := range goldenSegments {
		files[name] = goldentest.Read(t, name+".gz")
	}
	if withStore {
		files["export.db"] = goldentest.Read(t, "export.db.gz")
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// goldenExporter opens an exporter of a folder. Its endpoint stores the bodies that it gets, acknowledges the first
// accept of them, and answers the others with status 500.
func goldenExporter(t *testing.T, dir string, accept int) (e *usageexport.Exporter, bodies *[]string) {
	t.Helper()
	bodies = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reader, err := gzip.NewReader(r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		body, err := io.ReadAll(reader)
		if err != nil {
			t.Error(err)
		}
		if *bodies = append(*bodies, string(body)); len(*bodies) > accept {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		var b usage.Batch
		if err := jsontext.Decode(body, &b); err != nil {
			t.Error(err)
		}
		fmt.Fprintf(w, `{"source":%q,"number":%d,"digest":%q}`, b.Source, b.Number, usageexport.Digest(body))
	}))
	t.Cleanup(server.Close)
	logger := logtest.Discard()
	e = &usageexport.Exporter{Dir: dir, Endpoint: server.URL, Retention: time.Hour, Log: logger}
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	return e, bodies
}

// TestGoldenStoreRead continues from the store of an earlier version. The batch that is not acknowledged must be sent
// with the same bytes.
func TestGoldenStoreRead(t *testing.T) {
	e, bodies := goldenExporter(t, goldenDir(t, true), 1)
	defer e.Close()
	result, err := e.Step(context.Background())
	if err != nil || !result.Sent {
		t.Fatalf("got %+v, %v; want a batch sent", result, err)
	}
	if diff := cmp.Diff([]string{string(goldentest.Read(t, "batch-2.json"))}, *bodies); diff != "" {
		t.Errorf("bodies (-want +got):\n%s", diff)
	}
	var digests []string
	err = e.EachBatch(func(_ usage.Batch, digest string, acknowledged bool) error {
		digests = append(digests, fmt.Sprint(digest, " ", acknowledged))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		usageexport.Digest(goldentest.Read(t, "batch-1.json")) + " true",
		usageexport.Digest(goldentest.Read(t, "batch-2.json")) + " true",
	}
	if diff := cmp.Diff(want, digests); diff != "" {
		t.Errorf("batches (-want +got):\n%s", diff)
	}
	verdict, err := e.Verify()
	if err != nil || len(verdict.Problems) > 0 {
		t.Errorf("got problems %v, %v; want none", verdict.Problems, err)
	}
}

// TestGoldenStoreWritten checks that the batches are the same as those of an earlier version, and that the store is the
// same key by key.
func TestGoldenStoreWritten(t *testing.T) {
	dir := goldenDir(t, false)
	second := filepath.Join(dir, goldenSegments[1])
	if err := os.Rename(second, second+".later"); err != nil {
		t.Fatal(err)
	}
	e, bodies := goldenExporter(t, dir, 1)
	if result, err := e.Step(context.Background()); err != nil || !result.Sent {
		t.Fatalf("batch 1: got %+v, %v; want it sent", result, err)
	}
	if err := os.Rename(second+".later", second); err != nil {
		t.Fatal(err)
	}
	if result, err := e.Step(context.Background()); err == nil || result.Sent {
		t.Fatalf("batch 2: got %+v, %v; want an error", result, err)
	}
	if err := e.Close(); err != nil {
		t.Fatal(err)
	}
	wantBodies := []string{string(goldentest.Read(t, "batch-1.json")), string(goldentest.Read(t, "batch-2.json"))}
	if diff := cmp.Diff(wantBodies, *bodies); diff != "" {
		t.Errorf("bodies (-want +got):\n%s", diff)
	}
	want := goldentest.BoltContent(t, filepath.Join(goldenDir(t, true), "export.db"))
	if diff := cmp.Diff(want, goldentest.BoltContent(t, filepath.Join(dir, "export.db"))); diff != "" {
		t.Errorf("store (-want +got):\n%s", diff)
	}
}
