// Learns how many tokens the answers of streams have.

import { LRUCache } from "lru-cache";
import type { Millis } from "../clock.js";
import { DecayingMoments, type Moments } from "./decaying_moments.js";

/** Time after which a finished stream weighs half as much. */
const SAMPLE_HALF_LIFE_MS: Millis = 600_000;

/** Maximum weight of the samples of a group, in streams. */
const MAX_GROUP_WEIGHT = 200;

/** A group with less weight, in streams, falls back to a coarser one. */
const MIN_GROUP_WEIGHT = 8;

/** Maximum number of groups; the least recently used ones are evicted. */
const MAX_GROUPS = 2000;

/** Ratio of the largest to the smallest prompt of a size bucket. */
const PROMPT_BUCKET_RATIO = 4;

/** Standard deviations from the median to the 90th percentile. */
const TAIL_DEVIATIONS = 1.2816;

/**
 * Standard deviation of the logarithm of lengths before it is known. With it, the
 * tail is 3.6 times the median.
 */
const INITIAL_LOG_DEVIATION = 1;

/** Smallest variance of logarithms; equal samples leave some uncertainty. */
const MIN_LOG_VARIANCE = 0.01;

/** What is known of a request before its answer begins. */
export interface OutputRequest {
  readonly route: string;
  /** Name of the account in the configuration. */
  readonly account: string | undefined;
  readonly promptTokens: number;
  /** Output tokens that the caller expects. */
  readonly hintTokens: number | undefined;
  /** Maximum that the caller allows; undefined or 0 if it names none. */
  readonly maxTokens: number | undefined;
}

/** Expected number of output tokens of a request. */
export interface ExpectedOutput {
  readonly medianTokens: number;
  /** 90th percentile. */
  readonly tailTokens: number;
}

/**
 * Estimates the output length of requests by route, account and prompt size, and
 * by the hint of the caller. Lengths are taken as log-normal. Hints are corrected
 * by their error so far, and the weight of a hint falls with the variance of that
 * error.
 *
 * One mean for all requests would not do, since outputs have 55 events on average
 * and up to 159.
 */
export class OutputLengthEstimator {
  /** Logarithms of lengths, and of lengths divided by hints, by group. */
  readonly #groups = new LRUCache<string, DecayingMoments>({ max: MAX_GROUPS });

  /** Number of groups that are stored. */
  get groupCount(): number {
    return this.#groups.size;
  }

  /** Records a stream that was received to its end. */
  record(nowMs: Millis, request: OutputRequest, outputTokens: number): void {
    if (!isPositive(outputTokens)) {
      return;
    }
    const logTokens = Math.log(outputTokens);
    for (const key of lengthGroups(request)) {
      this.#groupOf(key).record(nowMs, logTokens);
    }
    if (!isPositive(request.hintTokens)) {
      return;
    }
    const logError = logTokens - Math.log(request.hintTokens);
    for (const key of hintGroups(request)) {
      this.#groupOf(key).record(nowMs, logError);
    }
  }

  /** Returns undefined if nothing is known of such requests. */
  expect(nowMs: Millis, request: OutputRequest): ExpectedOutput | undefined {
    const learned = this.#momentsOf(nowMs, lengthGroups(request));
    const hinted = this.#hinted(nowMs, request);
    const known = learned && hinted
      ? combine(learned, hinted)
      : learned ?? hinted;
    if (!known) {
      return undefined;
    }
    const tail = known.mean + TAIL_DEVIATIONS * Math.sqrt(known.variance);
    const maxTokens = isPositive(request.maxTokens)
      ? request.maxTokens
      : Infinity;
    return {
      medianTokens: Math.min(maxTokens, Math.exp(known.mean)),
      tailTokens: Math.min(maxTokens, Math.exp(tail)),
    };
  }

  /** Expected logarithm of the length by the hint alone. */
  #hinted(nowMs: Millis, request: OutputRequest): Moments | undefined {
    if (!isPositive(request.hintTokens)) {
      return undefined;
    }
    const error = this.#momentsOf(nowMs, hintGroups(request)) ??
      { mean: 0, variance: INITIAL_LOG_DEVIATION ** 2 };
    return { ...error, mean: Math.log(request.hintTokens) + error.mean };
  }

  /**
   * Moments of the first group with enough samples, or of the last one that has
   * any.
   */
  #momentsOf(nowMs: Millis, keys: readonly string[]): Moments | undefined {
    let sparse: Moments | undefined;
    for (const key of keys) {
      const group = this.#groups.get(key);
      const weight = group?.weight(nowMs) ?? 0;
      if (group && weight >= MIN_GROUP_WEIGHT) {
        const { mean, variance } = group.moments;
        return { mean, variance: Math.max(MIN_LOG_VARIANCE, variance) };
      }
      if (group && weight > 0) {
        sparse = {
          mean: group.moments.mean,
          variance: INITIAL_LOG_DEVIATION ** 2,
        };
      }
    }
    return sparse;
  }

  #groupOf(key: string): DecayingMoments {
    const known = this.#groups.get(key);
    if (known) {
      return known;
    }
    const group = new DecayingMoments(SAMPLE_HALF_LIFE_MS, MAX_GROUP_WEIGHT);
    this.#groups.set(key, group);
    return group;
  }
}

/** Groups of a request for its length, the finest first. */
function lengthGroups(request: OutputRequest): string[] {
  const { account = "", promptTokens, route } = request;
  const bucket = promptBucket(promptTokens);
  return [
    `length/${route}\n${account}\n${bucket}`,
    `length/${route}\n${account}`,
    `length/${route}`,
    "length",
  ];
}

/** Groups of a request for the error of its hint, the finest first. */
function hintGroups({ account = "", route }: OutputRequest): string[] {
  return [`hint/${route}\n${account}`, `hint/${route}`, "hint"];
}

function promptBucket(promptTokens: number): number {
  const buckets = Math.log(Math.max(1, promptTokens)) /
    Math.log(PROMPT_BUCKET_RATIO);
  return Math.floor(buckets);
}

/** Combines two independent estimates, weighted by their precision. */
function combine(a: Moments, b: Moments): Moments {
  const variance = 1 / (1 / a.variance + 1 / b.variance);
  const mean = variance * (a.mean / a.variance + b.mean / b.variance);
  return { mean, variance };
}

function isPositive(value: number | undefined): value is number {
  return value !== undefined && value > 0 && Number.isFinite(value);
}
