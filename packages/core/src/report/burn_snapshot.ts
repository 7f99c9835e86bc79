import { z } from "zod";

const count = z.int().nonnegative();

/** Events of one objective that one router counted in the last 6 h. */
export const ObjectiveEventsSchema = z.object({
  name: z.string().max(128),
  /** Distinguishes definitions of objectives with the same name. */
  definition: z.string().max(1024),
  /** Good and bad events by window, in the order of `BURN_WINDOWS`. */
  windows: z.array(z.tuple([count, count])).max(8),
  /**
   * For each step: its number since the epoch, its good events, its bad events.
   * A step takes `SERIES_STEP_MS`; steps without events are absent.
   */
  series: z.array(z.tuple([count, count, count])).max(256),
  /** Bad events by reason. */
  reasons: z.array(z.tuple([z.string().max(128), count])).max(64),
});
export type ObjectiveEvents = z.infer<typeof ObjectiveEventsSchema>;

/** Events counted by one router; those of several routers can be summed. */
export const BurnSnapshotSchema = z.object({
  /** Wall-clock time at which the router started to count. */
  sinceMs: z.number(),
  objectives: z.array(ObjectiveEventsSchema).max(1024),
});
export type BurnSnapshot = z.infer<typeof BurnSnapshotSchema>;
