package logcodec

// Frame gives tests the frame of a body that Encode would refuse.
func Frame(body []byte) []byte {
	data, err := frame(body, false)
	if err != nil {
		panic(err)
	}
	return data
}
