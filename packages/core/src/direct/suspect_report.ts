import { z } from "zod";
import type { Millis } from "../clock.js";
import {
  contentKeyOf,
  MAX_NAME_LENGTH,
  MAX_PART_ID_LENGTH,
  MAX_PATH_LENGTH,
  partKeyOf,
  type RequestTrait,
} from "./request_trait.js";

/** Maximum number of crashes that are remembered of a suspect. */
export const MAX_CRASHES = 12;

/** Maximum number of traits of one attempt that evidence is held against. */
export const MAX_TRAITS_PER_ATTEMPT = 16;

const MAX_DIGEST_LENGTH = 64;

const partId = z.string().min(1).max(MAX_PART_ID_LENGTH);

const EvidenceSchema = z.object({
  service: z.string().min(1).max(253),
  /**
   * How often the trait was found to be sound. Crashes before that do not count.
   */
  clearCount: z.int().nonnegative(),
  /** Endpoint processes that crashed while they had a request with the trait. */
  crashes: z.array(z.object({
    endpoint: z.string().min(1).max(300),
    ageMs: z.number().nonnegative(),
    /** Time from the start of the attempt to the crash. */
    ranMs: z.number().nonnegative().default(0),
    /** Whether an earlier attempt of the request may have run elsewhere. */
    isRetry: z.boolean().default(false),
  })).max(MAX_CRASHES),
  /** Other prompt parts that all requests had which crashed with this part. */
  companions: z.array(partId).max(MAX_TRAITS_PER_ATTEMPT),
  /** Requests with the trait that were sent since it was blocked, to try it. */
  trialCount: z.int().nonnegative(),
  /** Time since the trait was blocked; absent if it is not blocked. */
  blockedAgeMs: z.number().nonnegative().optional(),
  /** Time until the next trial; absent if there is none. */
  trialInMs: z.number().optional(),
  /** Time since a request was sent to tell the trait from its companions. */
  separatedAgeMs: z.number().nonnegative().optional(),
});

/**
 * What a router knows about a trait of requests under which endpoints crashed, as
 * it is sent to other routers and stored. It names either a prompt part or the
 * content of a request.
 */
export const SuspectReportSchema = z.union([
  EvidenceSchema.extend({ partId }),
  EvidenceSchema.extend({
    content: z.object({
      digest: z.string().min(1).max(MAX_DIGEST_LENGTH),
      account: z.string().max(MAX_NAME_LENGTH).optional(),
      method: z.string().max(MAX_NAME_LENGTH),
      path: z.string().max(MAX_PATH_LENGTH),
      bodyBytes: z.int().nonnegative(),
    }),
  }),
]);
export type SuspectReport = z.infer<typeof SuspectReportSchema>;

/** Trait that a report is about. */
export function reportedTraitOf(report: SuspectReport): RequestTrait {
  const { service } = report;
  return "partId" in report
    ? { kind: "prompt_part", service, partId: report.partId }
    : { kind: "content", service, ...report.content };
}

/** Key of the trait that a report is about. */
export function reportKeyOf(report: SuspectReport): string {
  return "partId" in report
    ? partKeyOf(report.service, report.partId)
    : contentKeyOf(report.content.digest, report.content.account);
}

/** Returns a report as it is some time after it was made. */
export function olderReport(
  report: SuspectReport,
  elapsedMs: Millis,
): SuspectReport {
  const { blockedAgeMs, crashes, separatedAgeMs, trialInMs } = report;
  return {
    ...report,
    crashes: crashes.map((crash) => ({
      ...crash,
      ageMs: crash.ageMs + elapsedMs,
    })),
    ...(blockedAgeMs === undefined
      ? {}
      : { blockedAgeMs: blockedAgeMs + elapsedMs }),
    ...(separatedAgeMs === undefined
      ? {}
      : { separatedAgeMs: separatedAgeMs + elapsedMs }),
    ...(trialInMs === undefined ? {} : { trialInMs: trialInMs - elapsedMs }),
  };
}
