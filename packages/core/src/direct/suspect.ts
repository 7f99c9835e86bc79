import type { Millis } from "../clock.js";
import { type RequestTrait, traitKeyOf } from "./request_trait.js";
import { MAX_CRASHES, type SuspectReport } from "./suspect_report.js";

/** Maximum number of crashes of one moment that are remembered of a suspect. */
const MAX_CRASHES_PER_MOMENT = 4;

/**
 * Maximum number of trials of a blocked trait. After the last one only an operator
 * lifts the block. The platform allows three requests, and routers that do not
 * reach each other may each make a trial.
 */
const MAX_TRIALS = 2;

/** Times from the block of a trait to its trials. */
const TRIAL_DELAYS_MS: readonly Millis[] = [60_000, 3_600_000];

/**
 * Minimum time between two requests that are sent to tell a trait from others
 * that came with it in every crash.
 */
const SEPARATION_INTERVAL_MS: Millis = 1000;

/** Crash of an endpoint that had a request with the trait. */
export interface SuspectCrash {
  readonly crashedMs: Millis;
  /** Time from the start of the attempt to the crash. */
  readonly ranMs: Millis;
  /** Whether an earlier attempt of the request may have run elsewhere. */
  readonly isRetry: boolean;
}

/** How a change of a suspect affects requests. */
export type SuspectChange =
  /** The trait is under suspicion, or there is more evidence. */
  | "suspected"
  | "blocked"
  /** The trait was blocked and is not any more. */
  | "unblocked"
  /** The trait was suspected and is not any more. */
  | "cleared";

/**
 * Evidence against a trait of requests that endpoints had when they crashed.
 * Merging what other routers report does not depend on order or repetition: a
 * higher `clearCount` replaces all else, and otherwise crashes add up.
 */
export class Suspect {
  readonly trait: RequestTrait;
  readonly key: string;
  readonly #momentMs: Millis;
  readonly #crashes = new Map<string, SuspectCrash>();
  #clearCount = 0;
  /** Undefined until the first crash. */
  #companions: ReadonlySet<string> | undefined;
  #trialCount = 0;
  #blockedMs: Millis | undefined;
  #nextTrialMs: Millis | undefined;
  #separatedMs: Millis | undefined;

  /** @param momentMs Crashes within this time are of one moment. */
  constructor(trait: RequestTrait, momentMs: Millis) {
    this.trait = trait;
    this.key = traitKeyOf(trait);
    this.#momentMs = momentMs;
  }

  /** The crashes by endpoint process. */
  get crashes(): ReadonlyMap<string, SuspectCrash> {
    return this.#crashes;
  }

  /** Ids of the prompt parts that came with this one in every crash. */
  get companions(): ReadonlySet<string> {
    return this.#companions ?? new Set();
  }

  get trialCount(): number {
    return this.#trialCount;
  }

  get isBlocked(): boolean {
    return this.#blockedMs !== undefined;
  }

  get blockedMs(): Millis | undefined {
    return this.#blockedMs;
  }

  /** Time from which a request may try the trait; undefined if none may. */
  get nextTrialMs(): Millis | undefined {
    return this.#nextTrialMs;
  }

  /** Whether there is one crash only and never was another. */
  get isMinor(): boolean {
    return this.#crashes.size === 1 && this.#clearCount === 0;
  }

  /** Whether a request may be sent to tell the trait from its companions. */
  maySeparate(nowMs: Millis): boolean {
    return this.#separatedMs === undefined ||
      nowMs - this.#separatedMs >= SEPARATION_INTERVAL_MS;
  }

  /** Calls `update` and returns how it changed the suspect, if at all. */
  change(update: (suspect: Suspect) => void): SuspectChange | undefined {
    const before = this.#fingerprint();
    const wasSuspected = this.#crashes.size > 0;
    const wasBlocked = this.isBlocked;
    update(this);
    if (this.#fingerprint() === before) {
      return undefined;
    }
    if (this.isBlocked) {
      return wasBlocked ? "suspected" : "blocked";
    }
    if (wasBlocked) {
      return "unblocked";
    }
    return wasSuspected && this.#crashes.size === 0 ? "cleared" : "suspected";
  }

  /**
   * Records the crash of an endpoint process. Of several reports the earliest
   * time holds, since reports arrive late and never early.
   */
  addCrash(endpointProcess: string, crash: SuspectCrash): void {
    const known = this.#crashes.get(endpointProcess);
    const isEarlier = known !== undefined && crash.crashedMs < known.crashedMs;
    const isNew = known === undefined && this.#crashes.size < MAX_CRASHES &&
      this.#crashesNear(crash.crashedMs) < MAX_CRASHES_PER_MOMENT;
    if (isEarlier || isNew) {
      this.#crashes.set(endpointProcess, crash);
    }
  }

  /** Keeps only the companions that came with the part this time too. */
  keepCompanions(partIds: readonly string[]): void {
    const known = this.#companions;
    this.#companions = new Set(
      known ? partIds.filter((id) => known.has(id)) : partIds,
    );
  }

  /** Records that the trait is sound. */
  clear(): void {
    this.#reset(this.#clearCount + 1);
  }

  /**
   * @param isAmbiguous Whether other requests may have caused all crashes, so that a
   *   trial is made soon.
   */
  block(nowMs: Millis, isAmbiguous: boolean): void {
    this.#blockedMs = nowMs;
    this.#nextTrialMs = isAmbiguous
      ? nowMs + SEPARATION_INTERVAL_MS
      : this.#trialAfter(nowMs);
  }

  /** Records that a request with the blocked trait is sent to try it. */
  recordTrial(nowMs: Millis): void {
    this.#trialCount++;
    this.#nextTrialMs = this.#trialAfter(nowMs);
  }

  /** Lets the next trial wait for the one of another trait. */
  postponeTrial(nowMs: Millis): void {
    if (this.#nextTrialMs !== undefined) {
      this.#nextTrialMs = Math.max(
        this.#nextTrialMs,
        nowMs + SEPARATION_INTERVAL_MS,
      );
    }
  }

  recordSeparation(nowMs: Millis): void {
    this.#separatedMs = nowMs;
  }

  /**
   * Whether merging a report may change what other routers need to know. Most
   * reports arrive several times, since each router passes them on.
   */
  isNews(report: SuspectReport): boolean {
    const { clearCount, companions, crashes, trialCount } = report;
    if (clearCount !== this.#clearCount) {
      return clearCount > this.#clearCount;
    }
    return crashes.length > 0 &&
      (crashes.some(({ endpoint }) => !this.#crashes.has(endpoint)) ||
        companions.length < this.companions.size ||
        trialCount > this.#trialCount ||
        isReportedBlocked(report) && !this.isBlocked ||
        report.separatedAgeMs !== undefined);
  }

  merge(report: SuspectReport, nowMs: Millis): void {
    if (report.clearCount < this.#clearCount) {
      return;
    }
    if (report.clearCount > this.#clearCount) {
      this.#reset(report.clearCount);
    }
    for (const { ageMs, endpoint, isRetry, ranMs } of report.crashes) {
      const crashedMs = nowMs - ageMs;
      this.addCrash(endpoint, { crashedMs, ranMs, isRetry });
    }
    if (report.crashes.length === 0) {
      return;
    }
    this.keepCompanions(report.companions);
    this.#mergeBlock(report, nowMs);
    if (report.separatedAgeMs !== undefined) {
      this.#mergeSeparation(nowMs - report.separatedAgeMs);
    }
  }

  report(nowMs: Millis): SuspectReport {
    const ageOf = (timeMs: Millis) => Math.max(0, Math.round(nowMs - timeMs));
    const evidence = {
      service: this.trait.service,
      clearCount: this.#clearCount,
      crashes: [...this.#crashes].map((
        [endpoint, { crashedMs, isRetry, ranMs }],
      ) => ({
        endpoint,
        ageMs: ageOf(crashedMs),
        ranMs: Math.round(ranMs),
        isRetry,
      })),
      companions: [...this.companions],
      trialCount: this.#trialCount,
      ...(this.#blockedMs === undefined
        ? {}
        : { blockedAgeMs: ageOf(this.#blockedMs) }),
      ...(this.#nextTrialMs === undefined
        ? {}
        : { trialInMs: Math.round(this.#nextTrialMs - nowMs) }),
      ...(this.#separatedMs === undefined
        ? {}
        : { separatedAgeMs: ageOf(this.#separatedMs) }),
    };
    if (this.trait.kind === "prompt_part") {
      return { ...evidence, partId: this.trait.partId };
    }
    const { account, bodyBytes, digest, method, path } = this.trait;
    const content = { digest, method, path, bodyBytes };
    return {
      ...evidence,
      content: account === undefined ? content : { ...content, account },
    };
  }

  #reset(clearCount: number): void {
    this.#clearCount = clearCount;
    this.#crashes.clear();
    this.#companions = undefined;
    this.#trialCount = 0;
    this.#blockedMs = undefined;
    this.#nextTrialMs = undefined;
    this.#separatedMs = undefined;
  }

  #trialAfter(nowMs: Millis): Millis | undefined {
    const blockedMs = this.#blockedMs ?? nowMs;
    return this.#trialCount < MAX_TRIALS
      ? TRIAL_DELAYS_MS.map((delayMs) => blockedMs + delayMs)
        .find((trialMs) => trialMs > nowMs)
      : undefined;
  }

  #crashesNear(timeMs: Millis): number {
    return [...this.#crashes.values()].filter(({ crashedMs }) =>
      Math.abs(crashedMs - timeMs) <= this.#momentMs
    ).length;
  }

  /** The block that began first holds, with the trials that are known to be made. */
  #mergeBlock(report: SuspectReport, nowMs: Millis): void {
    const { blockedAgeMs, trialCount, trialInMs } = report;
    if (!isReportedBlocked(report) || trialCount < this.#trialCount) {
      return;
    }
    const isNews = !this.isBlocked || trialCount > this.#trialCount;
    this.#blockedMs = Math.min(
      this.#blockedMs ?? nowMs,
      nowMs - (blockedAgeMs ?? 0),
    );
    this.#trialCount = trialCount;
    if (isNews) {
      this.#nextTrialMs = trialInMs === undefined
        ? undefined
        : nowMs + trialInMs;
    }
  }

  /** A report that travelled for some time makes no later separation. */
  #mergeSeparation(separatedMs: Millis): void {
    if (
      this.#separatedMs === undefined ||
      separatedMs - this.#separatedMs >= SEPARATION_INTERVAL_MS / 2
    ) {
      this.#separatedMs = separatedMs;
    }
  }

  /** Equal for two states between which other routers need not be told. */
  #fingerprint(): string {
    return [
      this.#clearCount,
      this.#crashes.size,
      this.#companions?.size,
      this.#trialCount,
      this.isBlocked,
      this.#separatedMs,
    ].join("/");
  }
}

/** Earlier versions name the next trial only. */
function isReportedBlocked(
  { blockedAgeMs, trialInMs }: SuspectReport,
): boolean {
  return blockedAgeMs !== undefined || trialInMs !== undefined;
}
