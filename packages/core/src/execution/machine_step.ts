/** A snapshot of a machine with the effects that led to it. */
export interface MachineStep<Snapshot, Effect> {
  readonly snapshot: Snapshot;
  readonly effects: Effect[];
  /** No event has an effect any more. */
  readonly done: boolean;
}

/** Takes the effects out of the result of a pure xstate transition. */
export function toStep<Snapshot extends { readonly status: string }, Effect>(
  [snapshot, actions]: readonly [
    Snapshot,
    readonly { readonly type: string; readonly params: unknown }[],
  ],
): MachineStep<Snapshot, Effect> {
  return {
    snapshot,
    effects: actions
      .filter((action) => action.type === "effect")
      .map((action) => action.params as Effect),
    done: snapshot.status === "done",
  };
}
