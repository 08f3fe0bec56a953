package logcodec

// Frame exports frame so that tests can build records that Encode rejects.
func Frame(body []byte) []byte {
	data, err := frame(body, false)
	if err != nil {
		panic(err)
	}
	return data
}
