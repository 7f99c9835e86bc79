const LOW_SEED = 0xdeadbeef;
const HIGH_SEED = 0x41c6ce57;
const LOW_MULTIPLIER = 0x9e3779b1;
const HIGH_MULTIPLIER = 0x5f356495;
const TWO_POW_32 = 0x1_0000_0000;
/** A score has 53 bits, because a number holds integers exactly up to 2^53. */
const HIGH_BITS_MASK = 0x1f_ffff;

interface ScoredId {
  readonly id: string;
  readonly score: number;
}

/**
 * Orders ids by rendezvous hashing (highest random weight) for a key.
 *
 * The order depends only on the set of ids, not on their order, and removing
 * an id leaves the order of the others as it was. Repeated ids count once.
 *
 * @param limit Maximum number of ids returned; a small one avoids a full sort.
 */
export function rankByRendezvous(
  key: string,
  ids: readonly string[],
  limit = Number.POSITIVE_INFINITY,
): string[] {
  const scored = scoreAll(key, new Set(ids));
  if (limit >= scored.length) {
    return scored.sort(compareScored).map((item) => item.id);
  }
  return selectFirst(scored, Math.max(0, limit)).map((item) => item.id);
}

/** Weight of an id for a key: an integer below 2^53, evenly distributed. */
export function rendezvousScore(key: string, id: string): number {
  const lanes = { low: LOW_SEED, high: HIGH_SEED };
  hashInto(lanes, key);
  return finishScore(lanes.low, lanes.high, id);
}

function scoreAll(key: string, ids: ReadonlySet<string>): ScoredId[] {
  const lanes = { low: LOW_SEED, high: HIGH_SEED };
  hashInto(lanes, key);
  const scored: ScoredId[] = [];
  for (const id of ids) {
    scored.push({ id, score: finishScore(lanes.low, lanes.high, id) });
  }
  return scored;
}

/** Selects the first items in one pass, for many ids and a small limit. */
function selectFirst(scored: readonly ScoredId[], limit: number): ScoredId[] {
  const selected: ScoredId[] = [];
  for (const item of scored) {
    const last = selected[selected.length - 1];
    if (selected.length >= limit && (!last || compareScored(last, item) <= 0)) {
      continue;
    }
    let position = selected.length;
    while (position > 0 && compareScored(selected[position - 1]!, item) > 0) {
      position--;
    }
    selected.splice(position, 0, item);
    selected.length = Math.min(selected.length, limit);
  }
  return selected;
}

function compareScored(a: ScoredId, b: ScoredId): number {
  if (a.score !== b.score) {
    return b.score - a.score;
  }
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0;
}

interface Lanes {
  low: number;
  high: number;
}

/**
 * Hashes the UTF-16 code units of a text, and then its length, into two
 * multiply-xor lanes.
 */
function hashInto(lanes: Lanes, text: string): void {
  let { low, high } = lanes;
  for (let i = 0; i < text.length; i++) {
    const unit = text.charCodeAt(i);
    low = rotate(Math.imul(low ^ unit, LOW_MULTIPLIER));
    high = rotate(Math.imul(high ^ unit, HIGH_MULTIPLIER));
  }
  // The length separates ("ab", "c") from ("a", "bc").
  lanes.low = mix(low ^ text.length);
  lanes.high = mix(high ^ lanes.low);
}

function finishScore(low: number, high: number, id: string): number {
  const lanes = { low, high };
  hashInto(lanes, id);
  const lowWord = mix(lanes.low ^ rotate(lanes.high));
  const highWord = mix(lanes.high ^ lowWord);
  return (highWord & HIGH_BITS_MASK) * TWO_POW_32 + (lowWord >>> 0);
}

function rotate(word: number): number {
  return (word << 13) | (word >>> 19);
}

/** Finalizer of MurmurHash3: each input bit flips each output bit evenly. */
function mix(word: number): number {
  let mixed = word ^ (word >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return mixed ^ (mixed >>> 16);
}
