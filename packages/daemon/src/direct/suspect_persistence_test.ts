import { reportKeyOf, type SuspectReport } from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { SharedDocument } from "./shared_document.js";
import { SuspectPersistence } from "./suspect_persistence.js";

function reportOf(partId: string, crashCount: number): SuspectReport {
  return {
    service: "pool",
    partId,
    clearCount: 0,
    crashes: Array.from({ length: crashCount }, (_, i) => ({
      endpoint: `e${i}@1`,
      ageMs: 10,
      ranMs: 20,
      isRetry: false,
    })),
    companions: [],
    trialCount: 0,
    ...(crashCount > 3 ? { trialInMs: 60_000 } : {}),
  };
}

class MemoryDocument extends SharedDocument {
  value: unknown;
  writes = 0;

  read(): Promise<unknown> {
    return Promise.resolve(this.value);
  }

  write(value: unknown): Promise<void> {
    this.value = value;
    this.writes++;
    return Promise.resolve();
  }
}

describe("SuspectPersistence", () => {
  let clock: ManualClock;
  let document: MemoryDocument;
  let known: SuspectReport[];
  let read: SuspectReport[][];
  let isWriter: boolean;
  let logged: string[];
  let persistence: SuspectPersistence;

  beforeEach(async () => {
    vi.useFakeTimers();
    clock = new ManualClock();
    document = new MemoryDocument();
    known = [];
    read = [];
    isWriter = true;
    logged = [];
    persistence = new SuspectPersistence({
      document,
      logger: { log: (event) => logged.push(event) },
      clock,
      reports: () => known,
      onRead: (reports) => {
        read.push([...reports]);
        known = [
          ...known,
          ...reports.filter((report) =>
            !known.some((other) => reportKeyOf(other) === reportKeyOf(report))
          ),
        ];
      },
      hasBlocked: () => known.some(({ trialInMs }) => trialInMs !== undefined),
      hasRecentEvidence: () => false,
      isWriter: () => isWriter,
    });
    persistence.start();
    await vi.advanceTimersByTimeAsync(0);
  });

  afterEach(() => {
    persistence.dispose();
    vi.useRealTimers();
  });

  async function change(report: SuspectReport, isOwn: boolean): Promise<void> {
    const key = reportKeyOf(report);
    known = [report, ...known.filter((other) => reportKeyOf(other) !== key)];
    persistence.recordChange([report], isOwn);
    persistence.writeIfDue();
    await vi.advanceTimersByTimeAsync(1000);
  }

  // Guards against a router that serves although it could know the blocks.
  it("reports that nothing is stored", () => {
    expect(read).toEqual([[]]);
  });

  it("does not store what chance makes", async () => {
    await change(reportOf("p", 1), true);
    expect(document.writes).toBe(0);
  });

  // Guards against the evidence of a router that is lost with it.
  it("stores what this router found, whoever writes otherwise", async () => {
    isWriter = false;
    await change(reportOf("p", 2), false);
    expect(document.writes).toBe(0);
    await change(reportOf("p", 3), true);
    expect(document.writes).toBe(1);
  });

  // Guards against routers that do not reach each other and replace what the
  // other one has stored.
  it("keeps what another router has stored", async () => {
    document.value = { writtenAtMs: 0, suspects: [reportOf("q", 4)] };
    await change(reportOf("p", 4), true);
    const { suspects } = document.value as { suspects: SuspectReport[] };
    expect(suspects.map(reportKeyOf).sort()).toEqual([
      reportKeyOf(reportOf("p", 4)),
      reportKeyOf(reportOf("q", 4)),
    ]);
  });

  it("looks for changes of operators while a part is blocked", async () => {
    await change(reportOf("p", 4), true);
    const lifted = { ...reportOf("p", 0), clearCount: 1 };
    document.value = { writtenAtMs: 0, suspects: [lifted] };
    clock.timeMs += 10_000;
    persistence.refreshIfDue();
    await vi.advanceTimersByTimeAsync(0);
    expect(read.at(-1)).toEqual([lifted]);
  });

  // Guards against a record that an operator or another version wrote and that
  // makes routers forget all others.
  it("ignores a record that it cannot read", async () => {
    const suspects = [
      { ...reportOf("p", 4), crashes: "two" },
      reportOf("q", 4),
    ];
    document.value = { writtenAtMs: 0, suspects };
    await change(reportOf("r", 4), true);
    expect(read.at(-1)?.map(reportKeyOf)).toEqual([
      reportKeyOf(reportOf("q", 4)),
    ]);
    expect(logged).toEqual(["record_ignored"]);
  });
});
