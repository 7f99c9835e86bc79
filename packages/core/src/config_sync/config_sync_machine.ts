import { assign, setup } from "xstate";

/**
 * Versions on which the state machine bases its transitions. The configuration
 * content is kept outside of the machine.
 */
export interface ConfigContext {
  /** Version in force; 0 before the first. */
  readonly inForceVersion: number;
  /** Highest version advertised by a peer or the store. */
  readonly knownVersion: number;
}

export type ConfigMachineEvent =
  | { readonly type: "versionAdvertised"; readonly version: number }
  | { readonly type: "versionComplete"; readonly version: number }
  | { readonly type: "sourcesExhausted" }
  | { readonly type: "retryDue" };

/**
 * Decides when content is fetched and which version comes into force.
 * `applyVersion` is emitted only for a version that is higher than the one in
 * force, so content that arrives after a higher version came into force is not
 * applied.
 */
export const configMachine = setup({
  types: {
    context: {} as ConfigContext,
    events: {} as ConfigMachineEvent,
  },
  actions: {
    recordAdvertised: assign(({ context, event }) => ({
      knownVersion: event.type === "versionAdvertised"
        ? Math.max(context.knownVersion, event.version)
        : context.knownVersion,
    })),
    putInForce: assign(({ context, event }) =>
      event.type === "versionComplete"
        ? {
          inForceVersion: event.version,
          knownVersion: Math.max(context.knownVersion, event.version),
        }
        : context
    ),
    startFetch: () => {},
    applyVersion: () => {},
    scheduleRetry: () => {},
  },
  guards: {
    isNewest: ({ context, event }) =>
      event.type === "versionComplete" &&
      event.version > context.inForceVersion &&
      event.version >= context.knownVersion,
    isNewer: ({ context, event }) =>
      "version" in event && event.version > context.inForceVersion,
    isAboveKnown: ({ context, event }) =>
      "version" in event && event.version > context.knownVersion,
  },
}).createMachine({
  id: "config",
  context: { inForceVersion: 0, knownVersion: 0 },
  initial: "unknown",
  on: {
    // Handled in every state, because content may arrive unrequested or after
    // its fetch was abandoned.
    versionComplete: [
      {
        guard: "isNewest",
        target: ".inForce",
        actions: ["putInForce", "applyVersion"],
      },
      {
        guard: "isNewer",
        target: ".fetching",
        actions: ["putInForce", "applyVersion", "startFetch"],
      },
    ],
  },
  states: {
    unknown: {
      on: {
        versionAdvertised: {
          guard: "isNewer",
          target: "fetching",
          actions: ["recordAdvertised", "startFetch"],
        },
      },
    },
    fetching: {
      on: {
        versionAdvertised: {
          guard: "isAboveKnown",
          actions: "recordAdvertised",
        },
        sourcesExhausted: { target: "waiting", actions: "scheduleRetry" },
      },
    },
    waiting: {
      on: {
        versionAdvertised: {
          guard: "isAboveKnown",
          target: "fetching",
          actions: ["recordAdvertised", "startFetch"],
        },
        retryDue: { target: "fetching", actions: "startFetch" },
      },
    },
    inForce: {
      on: {
        versionAdvertised: {
          guard: "isNewer",
          target: "fetching",
          actions: ["recordAdvertised", "startFetch"],
        },
      },
    },
  },
});
