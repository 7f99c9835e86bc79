/** Result of a transition: the new snapshot and the effects to carry out. */
export interface MachineStep<Snapshot, Effect> {
  readonly snapshot: Snapshot;
  readonly effects: Effect[];
  /** Whether the machine has ended; further events have no effect. */
  readonly done: boolean;
}

/** Extracts the effects from the result of a pure xstate transition. */
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
