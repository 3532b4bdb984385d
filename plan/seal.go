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

// idBytes is the length of a plan id before it is written in hex.
const idBytes = 16

// bare returns the document's content alone: without generation, ids, history,
// time and operator, which are set when it is accepted.
func bare(d *rudderv1.Document) *rudderv1.Document {
	c := proto.CloneOf(d)
	c.Generation, c.PlanId, c.AcceptedUnixMs, c.Operator = 0, "", 0, ""
	c.History = nil
	return c
}

// normalise prepares the next content: bare, with the forced names, and with
// every field that a newer release wrote into the base.
func normalise(base, next *rudderv1.Document, o Options) *rudderv1.Document {
	n := bare(next)
	n.Forced = slices.Sorted(slices.Values(o.Force))
	n.Forced = slices.Compact(n.Forced)
	keepUnknown(base, n)
	return n
}

func keepUnknown(base, next *rudderv1.Document) {
	copyUnknown(base.ProtoReflect(), next.ProtoReflect())
	carry(base.Models, next.Models)
	carry(base.Services, next.Services)
	carry(base.Workspaces, next.Workspaces)
	carry(base.Hosts, next.Hosts)
	carry(base.Endpoints, next.Endpoints)
	if base.Placement != nil && next.Placement != nil {
		copyUnknown(base.Placement.ProtoReflect(), next.Placement.ProtoReflect())
	}
}

type entry interface {
	proto.Message
	GetName() string
}

func carry[T entry](base, next []T) {
	byName := make(map[string]T, len(base))
	for _, b := range base {
		byName[b.GetName()] = b
	}
	for _, n := range next {
		if b, ok := byName[n.GetName()]; ok {
			copyUnknown(b.ProtoReflect(), n.ProtoReflect())
		}
	}
}

func copyUnknown(from, to protoreflect.Message) {
	if len(from.GetUnknown()) > 0 && len(to.GetUnknown()) == 0 {
		to.SetUnknown(slices.Clone(from.GetUnknown()))
	}
}

// seal encodes both contents and derives the plan's id from them.
func (p *Plan) seal(base *rudderv1.Document) error {
	var err error
	if p.Content, err = document.Encode(p.next); err != nil {
		return err
	}
	if p.BaseGeneration > 0 {
		if p.BaseContent, err = document.Encode(bare(base)); err != nil {
			return err
		}
	}
	p.ID = p.digest()
	return nil
}

// digest covers what is accepted: the base it follows and the content. Two
// operators who plan the same change over the same base get the same id.
func (p *Plan) digest() string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], p.BaseGeneration)
	_, _ = h.Write(n[:])
	binary.BigEndian.PutUint64(n[:], uint64(len(p.BasePlan)))
	_, _ = h.Write(n[:])
	_, _ = h.Write([]byte(p.BasePlan))
	_, _ = h.Write(p.Content)
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// Next returns the content that the plan proposes.
func (p *Plan) Next() *rudderv1.Document { return proto.CloneOf(p.next) }

// Encode writes the plan as indented JSON.
func (p *Plan) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(b, '\n'), nil
}

// Decode reads a plan and checks that its content belongs to its id. Its
// errors have code result.BadRequest.
func Decode(data []byte) (*Plan, error) {
	p := new(Plan)
	if err := json.Unmarshal(data, p); err != nil {
		return nil, result.New(result.BadRequest, "no plan: "+err.Error())
	}
	if p.ID != p.digest() {
		return nil, result.New(result.BadRequest, fmt.Sprintf("plan %s was altered or cut short", p.ID))
	}
	var err error
	if p.next, err = document.Decode(p.Content); err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	for _, b := range p.Breaks {
		if !slices.Contains(p.next.Forced, b.Name) {
			return nil, result.New(result.PlanBreaks, "not forced: "+b.Name)
		}
	}
	return p, nil
}
