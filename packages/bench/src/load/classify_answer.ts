import type { Verdict } from "./request_result.js";

/**
 * Compares the text of an answer with the expected text. `isFinished` says
 * whether the answer ended with its end marker.
 */
export function classifyAnswer(
  text: string,
  expected: string,
  isFinished: boolean,
): Verdict {
  if (text === expected) {
    return isFinished ? "whole" : "cut";
  }
  if (!isFinished && expected.startsWith(text)) {
    return "cut";
  }
  return "wrong";
}
