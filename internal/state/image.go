package state

import (
	"io"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"google.golang.org/protobuf/proto"
)

// Formats of state images. Format 1 contains no records of deletions.
const (
	firstImageFormat = 1
	// ImageFormat is the format that this version writes.
	ImageFormat = 2
)

func writeImage(w io.Writer, img *pb.StateImage) error {
	b, err := proto.Marshal(img)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// readImage decodes an image of any format up to ImageFormat. Errors are errkind Corrupt
// or, for other formats, Unsupported.
func readImage(r io.Reader) (*pb.StateImage, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var img pb.StateImage
	if err := proto.Unmarshal(b, &img); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "image can't be decoded")
	}
	switch f := img.GetFormat(); {
	case f < firstImageFormat || f > ImageFormat:
		return nil, errkind.New(errkind.Unsupported, "image has format %d, this version reads %d to %d", f, firstImageFormat, ImageFormat)
	case f == firstImageFormat:
		// Deletions before the image are unknown, so watchers at an older revision must
		// receive the whole configuration.
		img.DeletionsFloor = img.GetConfiguration().GetRevision()
	}
	return &img, nil
}

// EncodeBackup encodes a configuration as a backup.
func EncodeBackup(c *pb.Configuration) ([]byte, error) {
	return proto.Marshal(&pb.StateImage{Format: ImageFormat, Configuration: c})
}

// DecodeBackup decodes the configuration of a backup. Errors are errkind Corrupt or
// Unsupported.
func DecodeBackup(image []byte) (*pb.Configuration, error) {
	var img pb.StateImage
	if err := proto.Unmarshal(image, &img); err != nil || img.GetConfiguration() == nil {
		return nil, errkind.New(errkind.Corrupt, "backup can't be decoded")
	}
	if f := img.GetFormat(); f < firstImageFormat || f > ImageFormat {
		return nil, errkind.New(errkind.Unsupported, "backup has format %d, this version reads %d to %d", f, firstImageFormat, ImageFormat)
	}
	return img.GetConfiguration(), nil
}
