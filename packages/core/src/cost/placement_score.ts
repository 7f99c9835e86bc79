import type { DirectEndpoint } from "../direct/direct_endpoint.js";

/** Value of the endpoints of a pool for one request. */
export abstract class PlacementScore {
  /** Endpoints that differ from the best value by no more than this are equal. */
  abstract toleranceAt(best: number): number;

  /**
   * Higher is better.
   *
   * @param load Known number of requests running or waiting at the endpoint.
   */
  abstract valueOf(endpoint: DirectEndpoint, load: number): number;

  /** Whether the request fits into the memory of the endpoint. */
  abstract hasRoom(endpoint: DirectEndpoint, load: number): boolean;
}
