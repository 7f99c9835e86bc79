import { describe, expect, it } from "vitest";
import { z } from "zod";
import { FIELD_CODES } from "./field_codes.js";
import { encodeFrame, FrameDecoder } from "./frame_codec.js";
import { type Message, MessageSchema } from "./messages.js";
import { WireError } from "./wire_error.js";

const chunk: Message = {
  type: "chunk",
  attemptId: "a1",
  seq: 3,
  data: new Uint8Array([1, 2, 3]),
};

describe("FrameDecoder", () => {
  describe("with valid frames", () => {
    it("joins a frame that arrives one byte at a time", () => {
      const decoder = new FrameDecoder();
      const frame = encodeFrame(chunk);
      const received = [...frame].flatMap((byte) =>
        decoder.push(new Uint8Array([byte]))
      );
      expect(received.map((item) => item.message)).toEqual([chunk]);
    });

    it("separates frames that arrive in one chunk", () => {
      const decoder = new FrameDecoder();
      const frame = encodeFrame(chunk);
      const twoFrames = new Uint8Array([...frame, ...frame]);
      expect(decoder.push(twoFrames)).toHaveLength(2);
    });
  });

  describe("with coded field names", () => {
    it("has a code for every field, so that no name is sent as text", () => {
      const fieldNames = new Set<string>();
      const collect = (schema: z.core.$ZodType) => {
        if (schema instanceof z.ZodObject) {
          for (const [name, field] of Object.entries(schema.shape)) {
            fieldNames.add(name);
            collect(field as z.core.$ZodType);
          }
        } else if (schema instanceof z.ZodArray) {
          collect(schema.element);
        } else if (schema instanceof z.ZodOptional) {
          collect(schema.unwrap());
        }
      };
      MessageSchema.options.forEach(collect);
      expect([...fieldNames].filter((name) => !(name in FIELD_CODES))).toEqual(
        [],
      );
    });

    it("does not change maps whose keys are arbitrary names", () => {
      const head: Message = {
        type: "head",
        attemptId: "a1",
        seq: 0,
        status: 200,
        headers: { "status": "x", "1": "y", "content-type": "z" },
      };
      const [received] = new FrameDecoder().push(encodeFrame(head));
      expect(received?.message).toEqual(head);
    });
  });

  describe("with invalid frames", () => {
    it("rejects a frame above the size limit before its body arrives", () => {
      const decoder = new FrameDecoder(16);
      expect(() => decoder.push(new Uint8Array([0, 0, 1, 0]))).toThrow(
        WireError,
      );
    });

    it("rejects a message that does not match its schema", () => {
      const frame = encodeFrame({ ...chunk, seq: -1 } as Message);
      expect(() => new FrameDecoder().push(frame)).toThrow(/seq/);
    });

    it("rejects bytes that are not CBOR", () => {
      const invalidFrame = new Uint8Array([0, 0, 0, 2, 0xff, 0xff]);
      expect(() => new FrameDecoder().push(invalidFrame)).toThrow(WireError);
    });
  });
});
