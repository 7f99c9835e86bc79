import type { SeededRandom } from "../seeded_random.js";

/** The stand-in engines count one token for every four characters. */
export const CHARS_PER_TOKEN = 4;

const WORDS = [
  "account",
  "annual",
  "approval",
  "balance",
  "budget",
  "chapter",
  "charge",
  "contract",
  "desalination",
  "district",
  "edit",
  "engineer",
  "fjord",
  "grant",
  "harbour",
  "invoice",
  "ledger",
  "line",
  "meter",
  "page",
  "permission",
  "policy",
  "pump",
  "quarter",
  "report",
  "review",
  "section",
  "summary",
  "supplier",
  "turbine",
  "water",
  "wiki",
] as const;

/** Returns random words of about the given number of tokens in total. */
export function textOfTokens(tokens: number, random: SeededRandom): string {
  const chars = tokens * CHARS_PER_TOKEN;
  const parts: string[] = [];
  let length = 0;
  while (length < chars) {
    const word = `${random.pick(WORDS)}${random.int(0, 99)}`;
    parts.push(word);
    length += word.length + 1;
  }
  return parts.join(" ");
}
