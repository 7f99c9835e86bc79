/** A duration or a point in time in milliseconds. */
export type Millis = number;

/**
 * Source of time for hosts. Reducers do not use it: each event carries its time
 * in the field `nowMs`.
 */
export abstract class Clock {
  /** Monotonic time in milliseconds since an arbitrary start. */
  abstract nowMs(): Millis;

  /** Wall-clock time in milliseconds since the Unix epoch. */
  abstract wallMs(): Millis;
}
