package bbshare

//go:generate enumer -type=Delivery -trimprefix=Delivered -transform=kebab -output=delivery_enumer.go

// Delivery is how much of its answer the caller of a request got.
type Delivery int

const (
	// DeliveredWhole means all of it, DeliveredPart that it broke off, DeliveredNone that
	// nothing came.
	DeliveredWhole Delivery = iota
	DeliveredPart
	DeliveredNone
)
