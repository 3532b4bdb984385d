package plan

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// idBytes is the length of a plan id in bytes, before hex encoding.
const idBytes = 16

// contentOnly returns a copy of the document without the fields that are set when
// it is accepted: generation, plan id, history, time and operator.
func contentOnly(d *rudderv1.Document) *rudderv1.Document {
	c := proto.CloneOf(d)
	c.Generation, c.PlanId, c.AcceptedUnixMs, c.Operator = 0, "", 0, ""
	c.History = nil
	return c
}

// normalise prepares the next document's content: without the fields set on
// acceptance, with the sorted forced names, and with all unknown fields that a
// newer release wrote into the base.
func normalise(base, next *rudderv1.Document, o Options) *rudderv1.Document {
	n := contentOnly(next)
	n.Forced = slices.Sorted(slices.Values(o.Force))
	n.Forced = slices.Compact(n.Forced)
	preserveUnknownFields(base, n)
	return n
}

// preserveUnknownFields copies the unknown fields of base and its elements to next.
func preserveUnknownFields(base, next *rudderv1.Document) {
	copyUnknownFields(base.ProtoReflect(), next.ProtoReflect())
	preserveUnknownInList(base.Models, next.Models)
	preserveUnknownInList(base.Services, next.Services)
	preserveUnknownInList(base.Workspaces, next.Workspaces)
	preserveUnknownInList(base.Hosts, next.Hosts)
	preserveUnknownInList(base.Endpoints, next.Endpoints)
	if base.Placement != nil && next.Placement != nil {
		copyUnknownFields(base.Placement.ProtoReflect(), next.Placement.ProtoReflect())
	}
}

// namedMessage is a message with a name, by which list elements are matched.
type namedMessage interface {
	proto.Message
	GetName() string
}

// preserveUnknownInList copies unknown fields between elements of the same name.
func preserveUnknownInList[T namedMessage](base, next []T) {
	byName := make(map[string]T, len(base))
	for _, b := range base {
		byName[b.GetName()] = b
	}
	for _, n := range next {
		if b, ok := byName[n.GetName()]; ok {
			copyUnknownFields(b.ProtoReflect(), n.ProtoReflect())
		}
	}
}

// copyUnknownFields copies unknown fields unless the target has some of its own.
func copyUnknownFields(from, to protoreflect.Message) {
	if len(from.GetUnknown()) > 0 && len(to.GetUnknown()) == 0 {
		to.SetUnknown(slices.Clone(from.GetUnknown()))
	}
}

// encodeContents encodes the next content and the base content and sets the plan's id.
func (p *Plan) encodeContents(base *rudderv1.Document) error {
	var err error
	if p.Content, err = document.Encode(p.next); err != nil {
		return err
	}
	if p.BaseGeneration > 0 {
		if p.BaseContent, err = document.Encode(contentOnly(base)); err != nil {
			return err
		}
	}
	p.ID = p.computeID()
	return nil
}

// computeID returns the plan's id, a hash of the base's generation and plan id and
// of the next content. Two operators who plan the same change over the same base
// get the same id.
func (p *Plan) computeID() string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], p.BaseGeneration)
	_, _ = h.Write(n[:])
	binary.BigEndian.PutUint64(n[:], uint64(len(p.BasePlanID)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(p.BasePlanID))
	_, _ = h.Write(p.Content)
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// Next returns a copy of the content that the plan proposes.
func (p *Plan) Next() *rudderv1.Document { return proto.CloneOf(p.next) }

// Encode returns the plan as indented JSON.
func (p *Plan) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(b, '\n'), nil
}

// Decode parses a plan and checks that its content matches its id; errors have code
// result.BadRequest. A plan with violations that are not forced is refused with
// code result.PlanBreaks.
func Decode(data []byte) (*Plan, error) {
	p := new(Plan)
	if err := json.Unmarshal(data, p); err != nil {
		return nil, result.New(result.BadRequest, "cannot parse plan: "+err.Error())
	}
	if p.ID != p.computeID() {
		return nil, result.New(result.BadRequest, fmt.Sprintf("plan %s does not match its id: it was modified or truncated", p.ID))
	}
	var err error
	if p.next, err = document.Decode(p.Content); err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	for _, b := range p.Violations {
		if !slices.Contains(p.next.Forced, b.Name) {
			return nil, result.New(result.PlanBreaks, "not forced: "+b.Name)
		}
	}
	return p, nil
}
