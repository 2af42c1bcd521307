package standin

import (
	"io"
	"net/http"

	"bergamotwing.example/tablestore"
)

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	p.waitHalf()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tablestore.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !p.admit(w) {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("key")] = value
	p.counts.Writes++
	p.mu.Unlock()
	p.answerWrite(w, http.StatusNoContent)
}
