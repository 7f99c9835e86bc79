/**
 * The parts of undici that the router uses. Its index also loads fetch, caches
 * and mocks, which would take most of the start-up time.
 */
import Agent from "undici/lib/dispatcher/agent.js";
import Client from "undici/lib/dispatcher/client.js";

export { Agent, Client };
