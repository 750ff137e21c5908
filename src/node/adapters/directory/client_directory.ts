/** The platform's directory, where callers look up entry addresses. */

/** Publishes the addresses that callers may connect to. */
export abstract class ClientDirectory {
  /** Replaces the published list of a domain's addresses for callers. */
  abstract publish(
    domainId: string,
    addresses: readonly string[],
  ): Promise<void>;
}
