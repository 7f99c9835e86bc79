import { type PromptMessage, promptText } from "@anvildeal/core";
import { createHash } from "node:crypto";
import { nextRandom32 } from "./random32.js";

const CONSONANTS = "bcdfghklmnprstvz";
const VOWELS = "aeiouy";

/**
 * Returns the tokens of the answer that every model engine gives to these
 * messages. The words depend on `maxTokens`, the number of tokens, so that the
 * answer to one request is never a prefix of the answer to another.
 */
export function answerTokens(
  messages: readonly PromptMessage[],
  maxTokens: number,
): string[] {
  const digest = createHash("sha256")
    .update(`${maxTokens}\n${promptText(messages)}`)
    .digest();
  let state = digest.readUInt32LE(0);
  const tokens: string[] = [];
  for (let index = 0; index < maxTokens; index += 1) {
    state = nextRandom32(state);
    const word = wordOf(state);
    tokens.push(index === 0 ? word : ` ${word}`);
  }
  return tokens;
}

/** Returns the complete text that callers must receive for these messages. */
export function expectedAnswer(
  messages: readonly PromptMessage[],
  maxTokens: number,
): string {
  return answerTokens(messages, maxTokens).join("");
}

/**
 * Returns a word of three letters, derived from the high bits of the
 * generator's state because these are the most random ones.
 */
function wordOf(state: number): string {
  const first = CONSONANTS[state >>> 28];
  const middle = VOWELS[(state >>> 20) % VOWELS.length];
  const last = CONSONANTS[(state >>> 16) & 15];
  return first + middle + last;
}
