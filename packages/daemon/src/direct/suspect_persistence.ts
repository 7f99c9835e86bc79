import {
  type Clock,
  type Millis,
  olderReport,
  reportKeyOf,
  type SuspectReport,
  SuspectReportSchema,
} from "@anvildeal/core";
import { z } from "zod";
import {
  DocumentPersistence,
  type DocumentPersistenceOptions,
} from "./document_persistence.js";

/** Interval at which one router looks for changes that operators made. */
const REFRESH_INTERVAL_MS: Millis = 10_000;

/**
 * Interval while there is evidence that routers which do not reach each other
 * must add up.
 */
const EVIDENCE_REFRESH_INTERVAL_MS: Millis = 1000;

/** Suspects with fewer crashes are not stored; chance makes many of them. */
const MIN_STORED_CRASHES = 2;

const DocumentSchema = z.object({
  /** Unix time; the ages in the reports refer to it. */
  writtenAtMs: z.number(),
  suspects: z.array(z.unknown()),
});

export interface SuspectPersistenceOptions extends DocumentPersistenceOptions {
  readonly clock: Clock;
  readonly reports: () => readonly SuspectReport[];
  /** Called with the reports of the stored document, also if there is none. */
  readonly onRead: (reports: readonly SuspectReport[]) => void;
  /** Whether any request is blocked. */
  readonly hasBlocked: () => boolean;
  /** Whether there is recent evidence against requests. */
  readonly hasRecentEvidence: () => boolean;
}

/**
 * Persists under which requests endpoints crash, so that routers which all restart
 * at once do not crash endpoints to learn it again.
 *
 * A write includes what was stored before it, because reports merge. An operator
 * lifts a block by a higher `clearCount` without crashes in the document.
 */
export class SuspectPersistence extends DocumentPersistence {
  protected override readonly mergesStored = true;
  readonly #options: SuspectPersistenceOptions;
  /** Suspects that the stored document has. */
  readonly #storedKeys = new Set<string>();
  #ownChange = false;
  #lastRefreshMs: Millis = 0;

  constructor(options: SuspectPersistenceOptions) {
    // The router that has the evidence writes too, as the other may be gone.
    super("suspects", {
      ...options,
      isWriter: () => options.isWriter() || this.#ownChange,
    });
    this.#options = options;
  }

  /**
   * Requests a write if a change must outlast the processes.
   *
   * @param isOwn Whether this router found the change.
   */
  recordChange(reports: readonly SuspectReport[], isOwn: boolean): void {
    if (reports.some((report) => this.#isStored(report))) {
      this.#ownChange ||= isOwn;
      this.markChanged();
    }
  }

  /**
   * Looks for changes of operators and of routers that this one does not reach.
   * Call periodically.
   */
  refreshIfDue(): void {
    const { clock, hasBlocked, hasRecentEvidence, isWriter } = this.#options;
    const nowMs = clock.nowMs();
    const sinceLastMs = nowMs - this.#lastRefreshMs;
    if (sinceLastMs < EVIDENCE_REFRESH_INTERVAL_MS || !isWriter()) {
      return;
    }
    if (
      hasRecentEvidence() ||
      sinceLastMs >= REFRESH_INTERVAL_MS && hasBlocked()
    ) {
      this.#lastRefreshMs = nowMs;
      void this.reload();
    }
  }

  protected override encode(): z.infer<typeof DocumentSchema> {
    this.#ownChange = false;
    return {
      writtenAtMs: this.#options.clock.wallMs(),
      suspects: this.#storedReports(),
    };
  }

  protected override apply(value: unknown): void {
    if (value === undefined) {
      this.#options.onRead([]);
      return;
    }
    const { suspects: stored, writtenAtMs } = DocumentSchema.parse(value);
    const suspects = stored.flatMap((record, i) => this.#decode(record, i));
    suspects.forEach((report) => this.#storedKeys.add(reportKeyOf(report)));
    const ageMs = Math.max(0, this.#options.clock.wallMs() - writtenAtMs);
    this.#options.onRead(suspects.map((report) => olderReport(report, ageMs)));
  }

  /** Leaves out a record that cannot be read, so that the others hold. */
  #decode(record: unknown, index: number): SuspectReport[] {
    const { data, error } = SuspectReportSchema.safeParse(record);
    if (data) {
      return [data];
    }
    this.#options.logger.log("record_ignored", {
      collection: "suspects",
      record: String(index),
      detail: z.prettifyError(error),
    });
    return [];
  }

  #storedReports(): SuspectReport[] {
    const reports = this.#options.reports().filter((report) =>
      this.#isStored(report)
    );
    reports.forEach((report) => this.#storedKeys.add(reportKeyOf(report)));
    return reports;
  }

  /** What was stored stays, so that a clear outlasts the processes too. */
  #isStored(report: SuspectReport): boolean {
    return report.crashes.length >= MIN_STORED_CRASHES ||
      this.#storedKeys.has(reportKeyOf(report));
  }
}
