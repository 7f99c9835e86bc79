import { describe, expect, it } from "vitest";
import { classifyAnswer } from "./classify_answer.js";
import { SseReader } from "./sse_reader.js";

describe("classifyAnswer", () => {
  it("classifies an unfinished correct answer as cut, not wrong", () => {
    expect(classifyAnswer("one two", "one two", true)).toBe("whole");
    expect(classifyAnswer("one", "one two", false)).toBe("cut");
    expect(classifyAnswer("one two", "one two", false)).toBe("cut");
  });

  it("classifies missing, repeated and unrelated words as wrong", () => {
    expect(classifyAnswer("one", "one two", true)).toBe("wrong");
    expect(classifyAnswer("one one two", "one two", false)).toBe("wrong");
    expect(classifyAnswer("three", "one two", false)).toBe("wrong");
  });
});

describe("SseReader", () => {
  it("reassembles events split at any byte, even within a character", () => {
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
