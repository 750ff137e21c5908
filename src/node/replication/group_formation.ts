/**
 * Decides the identity and role with which a member starts. Only the first
 * founder forms the group, and only after every other founder has replied that
 * it belongs to none. All others start as learners and receive the list of
 * members from their first leader. So an instance whose disk was erased can
 * neither form a second group nor vote under its old identity.
 */
import {z} from 'zod';
import {wallNowMs} from '../clock/clock.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {asId, type InstanceId, type MemberId} from '../types/ids.js';
import {lastIndex} from './core/log.js';
import {memberIdOf} from './peer_transport.js';
import type {ReplicaMember} from './replicated_log.js';
import type {ReplicaStorage, StoredReplica} from './replica_storage.js';

/** One of the instances that form a new group together. */
export interface Founder {
  readonly instance: InstanceId;
  readonly address: string;
  readonly weight: number;
}

export interface FormationOptions {
  readonly instance: InstanceId;
  /** The same list, in the same order, on every founder. */
  readonly founders: readonly Founder[];
  readonly methodPrefix: string;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly storage: ReplicaStorage;
  /** Increases with each start. @default the wall clock in ms */
  readonly incarnation?: () => number;
  /** @default 500 */
  readonly retryMs?: number;
  /** Aborts the wait for the other founders. */
  readonly signal?: AbortSignal;
}

/** The identity, role and members with which a member starts. */
export interface StartDecision {
  readonly memberId: MemberId;
  readonly startAs: 'voter' | 'learner';
  readonly initialMembers: readonly ReplicaMember[];
}

const DEFAULT_RETRY_MS = 500;
const CALL_TIMEOUT_MS = 1000;

const formationReplySchema = z.object({
  memberId: z.string().transform(value => asId<MemberId>(value)),
  isFormed: z.boolean(),
});

type FormationReply = z.output<typeof formationReplySchema>;

/** Registers the method that reports whether this member is in a group. */
export function registerFormationMethod(
  router: RpcRouter,
  methodPrefix: string,
  memberId: MemberId,
  isFormed: () => boolean,
): void {
  router.register(`${methodPrefix}.formation`, z.object({}), () => ({
    memberId,
    isFormed: isFormed(),
  }));
}

/** Chooses the stored identity or a new one, and the role to start with. */
export async function decideStart(
  options: FormationOptions,
): Promise<StartDecision> {
  const {instance, founders, storage} = options;
  const stored = await storage.load();
  const {identity} = stored;
  const memberId =
    identity ??
    memberIdOf(instance, String((options.incarnation ?? wallNowMs)()));
  const learner: StartDecision = {
    memberId,
    startAs: 'learner',
    initialMembers: [],
  };
  if (hasHistory(stored)) return learner;
  if (identity === undefined) await storage.reserveIdentity(memberId);
  if (founders[0]?.instance !== instance) return learner;
  registerFormationMethod(
    options.router,
    options.methodPrefix,
    memberId,
    () => false,
  );
  const replies = await queryUntilDecided(options, founders.slice(1));
  if (replies === undefined) return learner;
  const members = founders.map(({address, weight}, position) => ({
    memberId: position === 0 ? memberId : replies[position - 1]?.memberId,
    address,
    weight,
  }));
  return {
    memberId,
    startAs: 'voter',
    initialMembers: members as readonly ReplicaMember[],
  };
}

/** Whether a member stores log entries and so belongs to a group. */
export function hasHistory({log, snapshot}: StoredReplica): boolean {
  return lastIndex(log) > 0 || (snapshot?.index ?? 0) > 0;
}

// Repeats the query until every founder has replied that it belongs to no
// group. Returns `undefined` if a group exists or the wait was aborted.
async function queryUntilDecided(
  options: FormationOptions,
  others: readonly Founder[],
): Promise<readonly FormationReply[] | undefined> {
  const {signal, retryMs = DEFAULT_RETRY_MS} = options;
  while (signal?.aborted !== true) {
    const results = await Promise.all(
      others.map(founder => queryFounder(options, founder)),
    );
    const replies = results.filter(reply => reply !== undefined);
    if (replies.some(reply => reply.isFormed)) return undefined;
    if (replies.length === others.length) return replies;
    await new Promise(resolve => setTimeout(resolve, retryMs));
  }
  return undefined;
}

/** The replies of the founders, or `undefined` if one did not reply. */
export async function queryFounders(
  options: FormationOptions,
  founders: readonly Founder[],
): Promise<readonly FormationReply[] | undefined> {
  const results = await Promise.all(
    founders.map(founder => queryFounder(options, founder)),
  );
  const replies = results.filter(reply => reply !== undefined);
  return replies.length === founders.length ? replies : undefined;
}

async function queryFounder(
  options: FormationOptions,
  founder: Founder,
): Promise<FormationReply | undefined> {
  const result = await options.client.call<unknown>(
    founder.address,
    `${options.methodPrefix}.formation`,
    {},
    CALL_TIMEOUT_MS,
  );
  const parsed = formationReplySchema.safeParse(result.unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
}
