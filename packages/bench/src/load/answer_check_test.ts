import { describe, expect, it } from "vitest";
import { judgeAnswer } from "./answer_check.js";
import { SseReader } from "./sse_reader.js";

describe("judgeAnswer", () => {
  it("tells a cut answer from a wrong one", () => {
    expect(judgeAnswer("one two", "one two", true)).toBe("whole");
    expect(judgeAnswer("one", "one two", false)).toBe("cut");
    expect(judgeAnswer("one two", "one two", false)).toBe("cut");
  });

  it("finds lost, repeated and foreign words", () => {
    expect(judgeAnswer("one", "one two", true)).toBe("wrong");
    expect(judgeAnswer("one one two", "one two", false)).toBe("wrong");
    expect(judgeAnswer("three", "one two", false)).toBe("wrong");
  });
});

describe("SseReader", () => {
  it("joins events that arrive in pieces, also within a character", () => {
    const bytes = new TextEncoder().encode("id: 1\ndata: {é}\n\ndata: b\n\n");
    for (let cut = 0; cut <= bytes.length; cut++) {
      const reader = new SseReader();
      const events = [
        ...reader.push(bytes.subarray(0, cut)),
        ...reader.push(bytes.subarray(cut)),
      ];
      expect(events).toEqual(["{é}", "b"]);
    }
  });
});
