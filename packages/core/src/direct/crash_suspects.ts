import type { Millis } from "../clock.js";
import { CrashEvidence, EVIDENCE_RULES } from "./crash_evidence.js";
import {
  originKeyOf,
  type RequestOrigin,
  type RequestTrait,
  traitKeyOf,
} from "./request_trait.js";
import { Suspect, type SuspectChange, type SuspectCrash } from "./suspect.js";
import {
  MAX_TRAITS_PER_ATTEMPT,
  reportedTraitOf,
  reportKeyOf,
  type SuspectReport,
} from "./suspect_report.js";

/** Maximum number of suspects; bounds memory against callers who invent traits. */
const MAX_SUSPECTS = 4096;

/** Maximum number of suspects in one message or document. */
const MAX_REPORTS = 256;

/** Maximum number of prompt parts that are remembered as answered. */
const MAX_ANSWERED_PARTS = 10_000;

/** Evidence is recent for this time. */
const RECENT_EVIDENCE_MS: Millis = 60_000;

/** An endpoint process that crashed while it had a request. */
export interface EndpointCrash extends SuspectCrash {
  /** Names the process; an endpoint that starts again is another one. */
  readonly endpointProcess: string;
}

/** Why a request must not be sent, and whether it may be sent all the same. */
export interface RequestBlock {
  readonly suspect: Suspect;
  /**
   * Whether prompt parts that the request lacks may have caused every crash that
   * the blocked one was at.
   */
  readonly isAmbiguous: boolean;
}

export interface ChangedSuspect {
  readonly suspect: Suspect;
  readonly change: SuspectChange;
}

/**
 * Finds traits of requests under which endpoints crash, from the crashes that all
 * routers see.
 *
 * A trait is blocked after several endpoints crashed while they had a request
 * with it, if no answer to such a request ended well in the meantime and most
 * endpoints that crashed then had one.
 */
export class CrashSuspects {
  readonly #suspects = new Map<string, Suspect>();
  readonly #evidence = new CrashEvidence();
  /** Number of contents under suspicion by their origin. */
  readonly #contentOrigins = new Map<string, number>();
  /** Suspects to review, and since when there is new evidence. */
  readonly #toReview = new Map<Suspect, Millis>();
  /** Prompt parts that were answered; the least recent one comes first. */
  readonly #answered = new Set<string>();

  /**
   * Records that an endpoint process crashed with an attempt.
   *
   * @param traits Traits of the request of the attempt.
   */
  recordCrash(
    nowMs: Millis,
    { endpointProcess, ...crash }: EndpointCrash,
    traits: readonly RequestTrait[],
  ): ChangedSuspect[] {
    this.#evidence.recordCrash(endpointProcess, crash.crashedMs);
    const suspicious = this.#mostSuspicious(traits);
    const partIds = suspicious.flatMap((trait) =>
      trait.kind === "prompt_part" ? [trait.partId] : []
    );
    return suspicious.flatMap((trait) =>
      this.#change(nowMs, this.#suspectOf(trait), (suspect) => {
        suspect.addCrash(endpointProcess, crash);
        if (trait.kind === "prompt_part") {
          suspect.keepCompanions(partIds.filter((id) => id !== trait.partId));
        }
      })
    );
  }

  /** Records that an answer to a request with these traits ended well. */
  recordAnswer(
    nowMs: Millis,
    traits: readonly RequestTrait[],
  ): ChangedSuspect[] {
    return traits.flatMap((trait) => {
      const key = traitKeyOf(trait);
      if (trait.kind === "prompt_part") {
        this.#rememberAnswer(key);
      }
      const suspect = this.#suspects.get(key);
      return suspect && suspect.crashes.size > 0
        ? this.#change(nowMs, suspect, () => suspect.clear())
        : [];
    });
  }

  /** Merges what another router reports and returns the suspects that changed. */
  merge(nowMs: Millis, reports: readonly SuspectReport[]): ChangedSuspect[] {
    return reports.flatMap((report) => {
      for (const { ageMs, endpoint } of report.crashes) {
        this.#evidence.recordCrash(endpoint, nowMs - ageMs);
      }
      const suspect = this.#suspects.get(reportKeyOf(report)) ??
        this.#suspectOf(reportedTraitOf(report));
      return suspect.isNews(report)
        ? this.#change(nowMs, suspect, () => suspect.merge(report, nowMs))
        : [];
    });
  }

  /**
   * Whether the content of a request with this origin may be suspected, so that
   * its digest is needed.
   */
  suspectsContentFrom(origin: RequestOrigin): boolean {
    return this.#contentOrigins.size > 0 &&
      this.#contentOrigins.has(originKeyOf(origin));
  }

  /** Whether the trait is known to be sound from a recent answer. */
  wasAnswered({ key }: Suspect): boolean {
    return this.#answered.has(key);
  }

  /** Returns the block that applies to a request; undefined if it may be sent. */
  blockOf(traits: readonly RequestTrait[]): RequestBlock | undefined {
    const keys = new Set(traits.map(traitKeyOf));
    let ambiguous: RequestBlock | undefined;
    for (const key of keys) {
      const suspect = this.#suspects.get(key);
      if (!suspect?.isBlocked) {
        continue;
      }
      const isAmbiguous = suspect.trait.kind === "prompt_part" &&
        this.#evidence.mayBeSound(suspect, keys);
      if (!isAmbiguous) {
        return { suspect, isAmbiguous };
      }
      ambiguous = { suspect, isAmbiguous };
    }
    return ambiguous;
  }

  /** Whether evidence has changed, so that {@link review} must be called. */
  get needsReview(): boolean {
    return this.#toReview.size > 0;
  }

  /**
   * Blocks the traits against which there is enough evidence.
   *
   * @param delayMs Time after which evidence is reviewed, since the crashes of the
   *   same moment must be known. The others are left for the next review.
   */
  review(nowMs: Millis, delayMs: Millis): ChangedSuspect[] {
    const suspects = [...this.#toReview].flatMap(([suspect, sinceMs]) =>
      nowMs >= sinceMs + delayMs ? [suspect] : []
    );
    suspects.forEach((suspect) => this.#toReview.delete(suspect));
    // A part that was at more crashes may explain those of the others.
    suspects.sort((a, b) => b.crashes.size - a.crashes.size);
    return suspects.flatMap((suspect) => {
      if (
        suspect.isBlocked || !this.#evidence.suffices(suspect) ||
        this.#evidence.isBystander(suspect)
      ) {
        return [];
      }
      const isAmbiguous = suspect.trait.kind === "content" &&
        this.#evidence.mayBeSound(suspect);
      suspect.block(nowMs, isAmbiguous);
      return [{ suspect, change: "blocked" as const }];
    });
  }

  /** Whether any trait is blocked. */
  get hasBlocked(): boolean {
    return [...this.#suspects.values()].some(({ isBlocked }) => isBlocked);
  }

  /** Whether several endpoints crashed under a trait, one of them lately. */
  hasRecentEvidence(nowMs: Millis): boolean {
    return [...this.#suspects.values()].some(({ crashes }) =>
      crashes.size > 1 &&
      [...crashes.values()].some(({ crashedMs }) =>
        nowMs - crashedMs < RECENT_EVIDENCE_MS
      )
    );
  }

  /**
   * Records that a request is sent to try a blocked trait. Other requests that may
   * have caused its crashes wait: two of them at one endpoint show nothing.
   *
   * @returns The suspects that changed.
   */
  recordTrial(nowMs: Millis, suspect: Suspect): Suspect[] {
    suspect.recordTrial(nowMs);
    const others = suspect.trait.kind === "content"
      ? this.#evidence.otherCausesOf(suspect)
      : [];
    others.forEach((other) => other.postponeTrial(nowMs));
    return [suspect, ...others];
  }

  /**
   * Records that a prompt is sent to tell a blocked part from others that may
   * have caused its crashes. These wait as well.
   *
   * @returns The suspects that changed.
   */
  recordSeparation(nowMs: Millis, suspect: Suspect): Suspect[] {
    const others = this.#evidence.otherCausesOf(suspect)
      .filter(({ isBlocked }) => isBlocked);
    const separated = [suspect, ...others];
    separated.forEach((each) => each.recordSeparation(nowMs));
    return separated;
  }

  /** Reports on the suspects with most evidence, to send or to store. */
  reports(nowMs: Millis): SuspectReport[] {
    return [...this.#suspects.values()]
      .sort((a, b) => b.crashes.size - a.crashes.size)
      .slice(0, MAX_REPORTS)
      .map((suspect) => suspect.report(nowMs));
  }

  #rememberAnswer(key: string): void {
    this.#answered.delete(key);
    this.#answered.add(key);
    if (this.#answered.size > MAX_ANSWERED_PARTS) {
      const [oldest] = this.#answered;
      this.#answered.delete(oldest!);
    }
  }

  /** Drops parts that are known to be sound first if there are too many traits. */
  #mostSuspicious(traits: readonly RequestTrait[]): RequestTrait[] {
    const unique = [
      ...new Map(traits.map((trait) => [traitKeyOf(trait), trait])),
    ];
    const rank = ([key]: readonly [string, RequestTrait]) =>
      this.#answered.has(key) ? 1 : 0;
    return unique.sort((a, b) => rank(a) - rank(b))
      .slice(0, MAX_TRAITS_PER_ATTEMPT).map(([, trait]) => trait);
  }

  #suspectOf(trait: RequestTrait): Suspect {
    const key = traitKeyOf(trait);
    const known = this.#suspects.get(key);
    if (known) {
      return known;
    }
    if (this.#suspects.size >= MAX_SUSPECTS) {
      this.#evict();
    }
    const created = new Suspect(trait, EVIDENCE_RULES[trait.kind].momentMs);
    this.#suspects.set(key, created);
    return created;
  }

  /** Removes the oldest suspect of those with the least evidence. */
  #evict(): void {
    let least: Suspect | undefined;
    for (const suspect of this.#suspects.values()) {
      if (!least || suspect.crashes.size < least.crashes.size) {
        least = suspect;
      }
    }
    this.#suspects.delete(least!.key);
    this.#toReview.delete(least!);
    this.#removeEvidence(least!);
  }

  #addEvidence(suspect: Suspect): void {
    this.#evidence.add(suspect);
    this.#countOrigin(suspect, 1);
  }

  #removeEvidence(suspect: Suspect): void {
    this.#evidence.remove(suspect);
    this.#countOrigin(suspect, -1);
  }

  #countOrigin({ crashes, trait }: Suspect, added: number): void {
    if (trait.kind !== "content" || crashes.size === 0) {
      return;
    }
    const key = originKeyOf(trait);
    const count = (this.#contentOrigins.get(key) ?? 0) + added;
    if (count > 0) {
      this.#contentOrigins.set(key, count);
    } else {
      this.#contentOrigins.delete(key);
    }
  }

  /** Evidence that suffices in any case is not made to wait by more of it. */
  #reviewLater(suspect: Suspect, nowMs: Millis): void {
    const { minCrashes } = EVIDENCE_RULES[suspect.trait.kind];
    if (!this.#toReview.has(suspect) || suspect.crashes.size <= minCrashes) {
      this.#toReview.set(suspect, nowMs);
    }
  }

  #change(
    nowMs: Millis,
    suspect: Suspect,
    update: (suspect: Suspect) => void,
  ): ChangedSuspect[] {
    this.#removeEvidence(suspect);
    const processes = [...suspect.crashes.keys()];
    const change = suspect.change(update);
    this.#addEvidence(suspect);
    if (change === "suspected") {
      this.#reviewLater(suspect, nowMs);
    } else if (change) {
      // Others that were at the same crashes are more suspicious without it.
      processes.flatMap((process) => this.#evidence.suspectsAt(process))
        .forEach((other) => this.#reviewLater(other, nowMs));
    }
    return change ? [{ suspect, change }] : [];
  }
}
