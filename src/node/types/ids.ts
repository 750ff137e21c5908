/**
 * Branded ids: plain strings or numbers at run time, but distinct types for the
 * compiler: a workspace id cannot be passed where an instance id is expected.
 */

declare const brand: unique symbol;

/** A value of `Base` that carries the compile-time tag `Tag`. */
export type Branded<Base, Tag extends string> = Base & {
  readonly [brand]: Tag;
};

/** A host that runs processes of the system. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** An instance id with the incarnation of one process start, `id#n`. */
export type MemberId = Branded<string, 'MemberId'>;
/** A failure domain: a set of instances that can fail together. */
export type DomainId = Branded<string, 'DomainId'>;
/** A geographic region, made of failure domains. */
export type RegionId = Branded<string, 'RegionId'>;
/** A customer. */
export type WorkspaceId = Branded<string, 'WorkspaceId'>;
/** An upstream: a model engine or a plain service. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** One process of an upstream: it may start again under the same id. */
export type UpstreamProcessId = Branded<string, 'UpstreamProcessId'>;
/** The version of the software that an upstream runs, not of its model. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** A model that engines can load. */
export type ModelId = Branded<string, 'ModelId'>;
/** A workload: one kind of request of a workspace. */
export type WorkloadId = Branded<string, 'WorkloadId'>;
/** A route of the route table. */
export type RouteId = Branded<string, 'RouteId'>;
/** A service: a set of upstreams that serve the same requests. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** A priority rank. */
export type RankId = Branded<string, 'RankId'>;
/** A request id, unique across the whole system. */
export type RequestId = Branded<string, 'RequestId'>;
/** One attempt at running a request. */
export type AttemptId = Branded<string, 'AttemptId'>;
/** A caller's idempotency key for a non-idempotent request. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** An operator's id of one change, reused when the change is retried. */
export type OperationId = Branded<string, 'OperationId'>;
/** The SHA-256 digest of some bytes, in hexadecimal. */
export type Digest = Branded<string, 'Digest'>;
/** Something that requests share and that may crash upstreams. */
export type SuspectId = Branded<string, 'SuspectId'>;
/** The version of an accepted configuration; 0 means none. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>;
/** A position in a replicated log; the first record has index 1. */
export type LogIndex = Branded<number, 'LogIndex'>;
/** An election term of a replicated log. */
export type Term = Branded<number, 'Term'>;
/** A fencing token: a log index that grows with each grant of a lease. */
export type FencingToken = Branded<number, 'FencingToken'>;

/** Casts a string to an id without validation. */
export function asId<Id extends Branded<string, string>>(value: string): Id {
  return value as Id;
}

/** Casts a number to a branded number without validation. */
export function asNumber<Id extends Branded<number, string>>(
  value: number,
): Id {
  return value as Id;
}
