import type { Millis } from "../clock.js";
import { KnownCrashes } from "./known_crashes.js";
import type { TraitKind } from "./request_trait.js";
import type { Suspect, SuspectCrash } from "./suspect.js";

/** Evidence against a trait that suffices to block it. */
interface EvidenceRule {
  /** Distinct endpoints that must have crashed. */
  readonly minCrashes: number;
  /**
   * The same if they crashed soon after they got the request, and no other one
   * was at all of them.
   */
  readonly minSoleCrashes: number;
  /**
   * The crashes must lie in at least this many moments. Endpoints that crash
   * together, as when a failure domain loses power, say as much as a single one.
   */
  readonly minMoments: number;
  /** Crashes within this time are of one moment. */
  readonly momentMs: Millis;
  /**
   * Whether the crash under a retry is of a moment of its own: the retry was sent
   * after the crash before. Of requests with a common trait some always are.
   */
  readonly separatesRetries: boolean;
  /**
   * Whether a crash speaks for no suspect's innocence if another one that was at
   * several crashes may have caused it. Some parts are at most crashes.
   */
  readonly allowsForOthers: boolean;
}

/**
 * Many requests have a part in common, so it needs more evidence than the content
 * of a request, which crashes a small service within half a second.
 */
export const EVIDENCE_RULES: Readonly<Record<TraitKind, EvidenceRule>> = {
  prompt_part: {
    minCrashes: 4,
    minSoleCrashes: 4,
    minMoments: 3,
    momentMs: 200,
    separatesRetries: false,
    allowsForOthers: false,
  },
  content: {
    minCrashes: 3,
    minSoleCrashes: 2,
    minMoments: 2,
    momentMs: 100,
    separatesRetries: true,
    allowsForOthers: true,
  },
};

/** A request that ran for longer before a crash is less suspicious. */
const MAX_TIME_TO_CRASH_MS: Millis = 1000;

/** A retry that was sent just before a crash says no more than the first attempt. */
const MIN_TIME_TO_CRASH_MS: Millis = 5;

/**
 * A moment counts against a trait only if it was in flight at this fraction of
 * the endpoints that crashed in it. If more crashed without it, something else is
 * at fault.
 */
const MIN_EXPLAINED_FRACTION = 0.5;

/**
 * Which suspects were at which crashes, and whether that suffices to block one or
 * another one may be at fault.
 */
export class CrashEvidence {
  /** Suspects by the endpoint processes at whose crash they were. */
  readonly #byProcess = new Map<string, Set<Suspect>>();
  readonly #knownCrashes = new KnownCrashes();

  /** Records a crash that any router saw. */
  recordCrash(endpointProcess: string, crashedMs: Millis): void {
    this.#knownCrashes.record(endpointProcess, crashedMs);
  }

  /** Adds the crashes of a suspect. */
  add(suspect: Suspect): void {
    for (const process of suspect.crashes.keys()) {
      const known = this.#byProcess.get(process);
      if (known) {
        known.add(suspect);
      } else {
        this.#byProcess.set(process, new Set([suspect]));
      }
    }
  }

  /** Removes the crashes of a suspect, as they were added. */
  remove(suspect: Suspect): void {
    for (const process of suspect.crashes.keys()) {
      const known = this.#byProcess.get(process);
      known?.delete(suspect);
      if (known?.size === 0) {
        this.#byProcess.delete(process);
      }
    }
  }

  /** Suspects that were at the crash of an endpoint process. */
  suspectsAt(endpointProcess: string): Suspect[] {
    return [...this.#byProcess.get(endpointProcess) ?? []];
  }

  /** Whether there is enough evidence against a suspect to block it. */
  suffices(suspect: Suspect): boolean {
    const rule = EVIDENCE_RULES[suspect.trait.kind];
    if (suspect.crashes.size < rule.minSoleCrashes) {
      return false;
    }
    const crashes = this.#explainedCrashes(suspect, rule);
    const minCrashes = crashes.length < rule.minCrashes &&
        crashes.every(({ ranMs }) => ranMs <= MAX_TIME_TO_CRASH_MS) &&
        this.othersInAllCrashesOf(suspect).length === 0
      ? rule.minSoleCrashes
      : rule.minCrashes;
    return crashes.length >= minCrashes &&
      countMoments(crashes, rule) >= rule.minMoments;
  }

  /** Suspects of the same kind that were in flight at all crashes of this one. */
  othersInAllCrashesOf({ crashes, key, trait }: Suspect): Suspect[] {
    const [first = ""] = crashes.keys();
    return this.suspectsAt(first).filter((other) =>
      other.key !== key && other.trait.kind === trait.kind &&
      includesAll(other, crashes)
    );
  }

  /** Other traits that may have caused some of the crashes of a suspect. */
  otherCausesOf(suspect: Suspect): Suspect[] {
    return [
      ...new Set(
        [...suspect.crashes.keys()].flatMap((process) =>
          this.#otherCausesAt(process, suspect)
        ),
      ),
    ];
  }

  /**
   * Whether other traits may have caused each crash of a suspect.
   *
   * @param keys Keys of traits that are left out.
   */
  mayBeSound(
    suspect: Suspect,
    keys: ReadonlySet<string> = new Set(),
  ): boolean {
    return [...suspect.crashes.keys()].every((process) =>
      this.#otherCausesAt(process, suspect).some(({ key }) => !keys.has(key))
    );
  }

  /**
   * Whether a blocked part that came in other requests was at all crashes of this
   * one and at more. The next crash without that part counts against this one.
   */
  isBystander(suspect: Suspect): boolean {
    const { companions, crashes } = suspect;
    return this.othersInAllCrashesOf(suspect).some((other) =>
      other.trait.kind === "prompt_part" && other.isBlocked &&
      !companions.has(other.trait.partId) && other.crashes.size > crashes.size
    );
  }

  /** Other traits of the same kind that may have caused a crash of a suspect. */
  #otherCausesAt(process: string, suspect: Suspect): Suspect[] {
    return this.suspectsAt(process).filter((other) =>
      other.key !== suspect.key && isOtherCause(other, suspect)
    );
  }

  /** Crashes of a suspect in whose moment most endpoints that crashed had it. */
  #explainedCrashes(
    suspect: Suspect,
    { allowsForOthers, momentMs }: EvidenceRule,
  ): SuspectCrash[] {
    const own = [...suspect.crashes].map(([process, crash]) => ({
      ...crash,
      crashedMs: this.#knownCrashes.timeOf(process) ?? crash.crashedMs,
    }));
    return own.filter(({ crashedMs }) => {
      const near = this.#knownCrashes.near(crashedMs, momentMs);
      const withSuspect = near.filter((process) =>
        suspect.crashes.has(process)
      );
      const withOther = allowsForOthers
        ? near.filter((process) => this.#hasOtherCause(process, suspect))
        : [];
      const judged = near.length - withOther.length;
      return withSuspect.length >= judged * MIN_EXPLAINED_FRACTION;
    });
  }

  /** Whether only another suspect, which was at several crashes, was at this one. */
  #hasOtherCause(process: string, suspect: Suspect): boolean {
    return !suspect.crashes.has(process) &&
      this.suspectsAt(process).some(({ crashes, trait }) =>
        trait.kind === suspect.trait.kind && crashes.size > 1
      );
  }
}

/**
 * Whether another trait may have caused a crash at which both were. A content has
 * been at several crashes then. So has a part that never came without the other
 * one, or else it is blocked and was at all crashes of the other one.
 */
function isOtherCause(other: Suspect, { crashes, trait }: Suspect): boolean {
  if (trait.kind === "content") {
    return other.trait.kind === "content" && other.crashes.size > 1;
  }
  return other.trait.kind === "prompt_part" &&
    (other.isBlocked && includesAll(other, crashes) ||
      other.companions.has(trait.partId) && other.crashes.size > 1);
}

/** Whether a suspect was at all of these crashes. */
function includesAll(
  suspect: Suspect,
  crashes: ReadonlyMap<string, SuspectCrash>,
): boolean {
  return [...crashes.keys()].every((process) => suspect.crashes.has(process));
}

function countMoments(
  crashes: readonly SuspectCrash[],
  { momentMs, separatesRetries }: EvidenceRule,
): number {
  let count = 0;
  let startMs = Number.NEGATIVE_INFINITY;
  const inOrder = [...crashes].sort((a, b) => a.crashedMs - b.crashedMs);
  for (const { crashedMs, isRetry, ranMs } of inOrder) {
    const isSeparate = separatesRetries && isRetry &&
      ranMs >= MIN_TIME_TO_CRASH_MS;
    if (isSeparate || crashedMs - startMs > momentMs) {
      startMs = crashedMs;
      count++;
    }
  }
  return count;
}
