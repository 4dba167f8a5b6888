package bbshare

//go:generate enumer -type=Delivery -trimprefix=Delivered -transform=kebab -output=delivery_enumer.go

// Delivery is how much of its answer the caller of a request got.
type Delivery int

const (
	// DeliveredWhole means all of it.
	DeliveredWhole Delivery = iota
	// DeliveredPart means that it broke off.
	DeliveredPart
	// DeliveredNone means that nothing came.
	DeliveredNone
)
