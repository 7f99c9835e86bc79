import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  OversizedEventError,
  SseEventBuffer,
  UnorderedEventError,
} from "./sse_event_buffer.js";

describe("SseEventBuffer", () => {
  it("returns only complete events, however the stream is split into chunks", () => {
    const text = Array.from(
      { length: 8 },
      (_, i) => `id: ${i}\ndata: ${"x".repeat(i)}\n\n`,
    ).join("");
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 }),
        (sizes) => {
          const buffer = new SseEventBuffer(undefined);
          let released = "";
          let offset = 0;
          for (const size of sizes) {
            const chunk = Buffer.from(text.slice(offset, offset + size));
            offset += size;
            released += buffer.push(chunk).toString();
            expect(released === "" || released.endsWith("\n\n")).toBe(true);
            const ids = [...released.matchAll(/^id: (\d)$/gm)];
            expect(buffer.lastEventId).toBe(ids.at(-1)?.[1]);
          }
          released += buffer.push(Buffer.from(text.slice(offset))).toString();
          expect(released).toBe(text);
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  // Guards against an event end that is not seen where two chunks meet.
  it.each(["\n", "\r\n"])(
    "finds event ends %j in chunks of one byte",
    (line) => {
      const events = [1, 2, 3].map((id) =>
        `id: ${id}${line}data: x${line}${line}`
      );
      const buffer = new SseEventBuffer(undefined);
      const released = [...events.join("")]
        .map((byte) => buffer.push(Buffer.from(byte)).toString())
        .filter((text) => text !== "");
      expect(released).toEqual(events);
      expect(buffer.lastEventId).toBe("3");
    },
  );

  // Guards against memory that grows with an event that never ends.
  it("rejects an event that is too large", () => {
    const buffer = new SseEventBuffer(undefined);
    const part = Buffer.alloc(64 * 1024, "x");
    const pushParts = (count: number) => {
      for (let i = 0; i < count; i++) {
        buffer.push(part);
      }
    };
    pushParts(15);
    expect(() => pushParts(2)).toThrow(OversizedEventError);
  });

  it("discards the partial event of an endpoint that failed", () => {
    const buffer = new SseEventBuffer(undefined);
    buffer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    buffer.prepareResume();
    const next = buffer.push(Buffer.from("id: 2\ndata: b\n\n"));
    expect(next.toString()).toBe("id: 2\ndata: b\n\n");
  });

  // Guards against an endpoint that begins anew, or that sends an error, in the
  // middle of a stream.
  it.each(["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "data: error\n\n"])(
    "rejects %j of another endpoint after event 2",
    (text) => {
      const buffer = new SseEventBuffer(undefined);
      buffer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
      buffer.prepareResume();
      expect(() => buffer.push(Buffer.from(text))).toThrow(UnorderedEventError);
      expect(buffer.lastEventId).toBe("2");
    },
  );

  it("accepts comments and ids that are no numbers of another endpoint", () => {
    const buffer = new SseEventBuffer("x");
    const text = ": ping\n\nid: a\ndata: a\n\ndata: b\n\n";
    expect(buffer.push(Buffer.from(text)).toString()).toBe(text);
  });

  it("starts with the last event id that the caller sent", () => {
    expect(new SseEventBuffer("7").lastEventId).toBe("7");
  });
});
