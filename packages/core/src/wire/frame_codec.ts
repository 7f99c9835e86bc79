import { Decoder, Encoder } from "cbor-x";
import { ByteParts } from "./byte_parts.js";
import { FIELD_CODES } from "./field_codes.js";
import { type Message, MessageSchema } from "./messages.js";
import { WireError } from "./wire_error.js";

const LENGTH_BYTES = 4;

/** Upper limit of one frame in bytes, length prefix not counted. */
export const MAX_FRAME_BYTES = 12 * 1024 * 1024;

// `keyMap` is missing in the type declarations of cbor-x.
const CODEC_OPTIONS = {
  keyMap: FIELD_CODES,
  mapsAsObjects: true,
  tagUint8Array: false,
  useRecords: false,
};
const encoder = new Encoder(CODEC_OPTIONS);
const decoder = new Decoder(CODEC_OPTIONS);

/** Larger frames are not kept, as their messages go to one peer. */
const MAX_KEPT_FRAME_BYTES = 64 * 1024;

/** The last encoded message, which is often sent to all peers in turn. */
let lastEncoded: {
  readonly message: Message;
  readonly frame: Uint8Array;
} | undefined;

/**
 * Encodes a message as a frame: 4 bytes of length, then a CBOR map. Returns the same
 * frame if it is called again with the same object, so neither may be changed.
 */
export function encodeFrame(message: Message): Uint8Array {
  if (lastEncoded?.message === message) {
    return lastEncoded.frame;
  }
  const frame = encodeNewFrame(message);
  lastEncoded = frame.length <= MAX_KEPT_FRAME_BYTES
    ? { message, frame }
    : undefined;
  return frame;
}

function encodeNewFrame(message: Message): Uint8Array {
  const body = encoder.encode(message);
  const frame = new Uint8Array(LENGTH_BYTES + body.length);
  new DataView(frame.buffer).setUint32(0, body.length);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

/** Splits a byte stream into messages and checks each against its schema. */
export class FrameDecoder {
  readonly #pending = new ByteParts();
  /** Bytes that must be pending before another frame can be complete. */
  #neededBytes = LENGTH_BYTES;
  readonly #maxFrameBytes: number;

  constructor(maxFrameBytes = MAX_FRAME_BYTES) {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /**
   * Adds received bytes and returns the messages that are complete, each with
   * the bytes it took on the wire.
   *
   * Throws {@link WireError} for an oversized frame, invalid CBOR or a message
   * that does not match its schema. Do not use the decoder after an error.
   */
  push(data: Uint8Array): { message: Message; frameBytes: number }[] {
    this.#pending.add(data);
    const messages: { message: Message; frameBytes: number }[] = [];
    while (this.#pending.bytes >= this.#neededBytes) {
      const joined = this.#pending.join();
      const view = new DataView(
        joined.buffer,
        joined.byteOffset,
        joined.byteLength,
      );
      const bodyBytes = view.getUint32(0);
      if (bodyBytes > this.#maxFrameBytes) {
        throw new WireError(`Frame of ${bodyBytes} bytes exceeds the limit`);
      }
      const frameBytes = LENGTH_BYTES + bodyBytes;
      if (joined.length < frameBytes) {
        this.#neededBytes = frameBytes;
        break;
      }
      this.#neededBytes = LENGTH_BYTES;
      messages.push({
        message: decodeBody(joined.subarray(LENGTH_BYTES, frameBytes)),
        frameBytes,
      });
      this.#pending.reset(joined.subarray(frameBytes));
    }
    return messages;
  }
}

function decodeBody(body: Uint8Array): Message {
  let value: unknown;
  try {
    value = decoder.decode(body);
  } catch (cause) {
    throw new WireError("Frame body is not valid CBOR", { cause });
  }
  const parsed = MessageSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new WireError(
      `Message does not match its schema: ${
        issue.path.join(".")
      }: ${issue.message}`,
    );
  }
  return parsed.data;
}
