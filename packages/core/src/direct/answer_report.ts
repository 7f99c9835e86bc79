import type { LogFields } from "../log_events.js";
import type { ActiveRequest } from "./direct_state.js";

/** What marks the end of an answer's body. */
export type AnswerFraming = "length" | "chunks" | "connection";

/** Whether an endpoint has ended a connection, and how. */
export type ConnectionEnding = "open" | "closed" | "reset";

/** How far an answer was relayed, for the log. */
export interface AnswerReport {
  /** Framing of the answer of the endpoint that was relayed last. */
  readonly framing: AnswerFraming;
  /** State of the connection to that endpoint. */
  readonly connection: ConnectionEnding;
  /** Last event id that the caller has, as far as known. */
  readonly lastEventId: string | undefined;
  /** Whether the caller has only a part of the last event. */
  readonly isInsideEvent: boolean;
}

/**
 * Describes the stream that was relayed to the caller; `runs` names the attempts
 * that it is joined from, with the software versions of their endpoints.
 */
export function answerFields(
  { call, route, runs }: ActiveRequest,
): LogFields {
  const isStream = route.callKind === "stream" && runs.length > 0;
  const report = isStream ? call.answerReport?.() : undefined;
  return report
    ? {
      runs: runs.join(","),
      framing: report.framing,
      connection: report.connection,
      last_event_id: report.lastEventId,
      inside_event: report.isInsideEvent || undefined,
    }
    : {};
}
