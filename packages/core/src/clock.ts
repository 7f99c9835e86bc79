/** A duration or a point in time in milliseconds. */
export type Millis = number;

/**
 * Source of time for hosts. Reducers never read it; they get `nowMs` as a
 * field of each event.
 */
export abstract class Clock {
  /** Monotonic time in milliseconds since an arbitrary start. */
  abstract nowMs(): Millis;

  /** Wall-clock time in milliseconds since the Unix epoch. */
  abstract wallMs(): Millis;
}
