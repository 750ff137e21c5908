/**
 * Replacement of identities: an instance that lost its disk or memory asks the
 * leader to replace its old identity with the new one. The leader adds the new
 * identity as a learner, removes the old one and promotes the learner once it
 * has caught up, so that the old vote is removed before the new one counts.
 */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {MemberId} from '../types/ids.js';
import {memberSchema} from './core/messages.js';
import {weightOf} from './core/quorum.js';
import {instanceOf} from './peer_transport.js';
import type {ReplicaMember, ReplicatedLog} from './replicated_log.js';

type AnyLog = ReplicatedLog<never, unknown>;
type Change = Parameters<AnyLog['changeMembership']>[0];

const DEFAULT_RETRY_MS = 500;
const JOIN_TIMEOUT_MS = 5000;
/** A contact without a reply for this long is not waited for. */
const NEXT_CONTACT_MS = 1000;

function incarnationOf(memberId: MemberId): number {
  return Number(memberId.slice(instanceOf(memberId).length + 1));
}

/**
 * Makes the remaining changes until `member` is the only identity of its
 * instance and has its weight. Runs on the leader; on an error the caller
 * retries. Fails with `conflict` if the group has a newer incarnation.
 */
export function replaceIdentity(
  log: AnyLog,
  member: ReplicaMember,
): ResultAsync<void, GatewayError> {
  const change = nextChange(log.status().members, member);
  if (change instanceof GatewayError) return errAsync(change);
  if (change === undefined) return okAsync(undefined);
  return log
    .changeMembership(change)
    .andThen(() => replaceIdentity(log, member));
}

function nextChange(
  members: readonly ReplicaMember[],
  member: ReplicaMember,
): Change | GatewayError | undefined {
  const {memberId, weight} = member;
  const others = members
    .map(known => known.memberId)
    .filter(id => id !== memberId && instanceOf(id) === instanceOf(memberId));
  const newer = others.find(id => incarnationOf(id) > incarnationOf(memberId));
  if (newer !== undefined) {
    return new GatewayError({
      code: 'conflict',
      message: `${newer} has replaced ${memberId}`,
      step: 'replication.join',
      peer: memberId,
    });
  }
  if (!members.some(known => known.memberId === memberId)) {
    return {kind: 'add_learner', member};
  }
  const old = others[0];
  if (old !== undefined) return {kind: 'remove', memberId: old};
  return weightOf(members, memberId) === weight
    ? undefined
    : {kind: 'set_weight', memberId, weight};
}

/** The reply to a request to join: `null`, or where to ask instead. */
const joinReplySchema = z
  .object({leaderAddress: z.string().optional()})
  .nullable();

type JoinReply = z.output<typeof joinReplySchema>;

/**
 * Registers `<prefix>.join`, which calls `replaceIdentity` on the leader. Other
 * members name the leader: a member without a disk knows only the addresses in
 * its settings, and the leader need not be among them.
 */
export function registerJoinMethod(
  log: AnyLog,
  router: RpcRouter,
  methodPrefix: string,
): void {
  router.register(
    `${methodPrefix}.join`,
    memberSchema,
    async (member, context): Promise<JoinReply> => {
      if (instanceOf(member.memberId) !== context.sender) {
        throw new GatewayError({
          code: 'forbidden',
          message: `${context.sender} may not join as ${member.memberId}`,
          step: 'replication.join',
          peer: context.sender,
        });
      }
      if (log.status().role !== 'leader') {
        return {leaderAddress: leaderAddress(log)};
      }
      const result = await replaceIdentity(log, member);
      if (result.isErr()) throw result.error;
      return null;
    },
  );
}

export interface JoiningOptions {
  readonly log: AnyLog;
  readonly client: RpcClient;
  readonly methodPrefix: string;
  /** This member with the weight that it requests. */
  readonly member: ReplicaMember;
  /** Addresses of other instances that may know the leader. */
  readonly contacts: () => readonly string[];
  /** @default 500 */
  readonly retryMs?: number;
}

/**
 * Sends join requests to the leader and the contacts in turn until this member
 * has joined with its weight. Returns a function that stops the attempts.
 */
export function startJoining(options: JoiningOptions): () => void {
  const {log, member, retryMs = DEFAULT_RETRY_MS} = options;
  let timer: ReturnType<typeof setTimeout> | undefined;
  let isStopped = false;
  let attempt = 0;
  const isDone = (): boolean => {
    const {members, role, leader} = log.status();
    const isMember = members.some(known => known.memberId === member.memberId);
    const weight = weightOf(members, member.memberId);
    // Without a leader, the local list of members may never have been committed.
    const isCurrent = leader !== undefined && isMember;
    return role === 'stopped' || (isCurrent && weight === member.weight);
  };
  const run = async (): Promise<void> => {
    if (isStopped || isDone()) return;
    const known = leaderAddress(log);
    const addresses = [
      ...(known === undefined ? [] : [known]),
      ...options.contacts(),
    ];
    const address = addresses[attempt++ % addresses.length];
    if (address !== undefined) {
      // A contact that is cut off must not delay the next one.
      await Promise.race([
        requestJoinAt(options, address),
        new Promise(resolve => setTimeout(resolve, NEXT_CONTACT_MS)),
      ]);
    }
    if (!isStopped) timer = setTimeout(() => void run(), retryMs);
  };
  void run();
  return () => {
    isStopped = true;
    clearTimeout(timer);
  };
}

/** Asks one member, and the leader that it names. */
async function requestJoinAt(
  options: JoiningOptions,
  address: string,
): Promise<void> {
  const leader = await requestJoin(options, address);
  if (leader !== undefined) await requestJoin(options, leader);
}

/** Asks one member; returns the address of the leader if that is another. */
async function requestJoin(
  {client, methodPrefix, member}: JoiningOptions,
  address: string,
): Promise<string | undefined> {
  const reply = await client.call<unknown>(
    address,
    `${methodPrefix}.join`,
    member,
    JOIN_TIMEOUT_MS,
  );
  const parsed = joinReplySchema.safeParse(reply.unwrapOr(null));
  return parsed.data?.leaderAddress;
}

function leaderAddress(log: AnyLog): string | undefined {
  const {members, leader} = log.status();
  return members.find(known => known.memberId === leader)?.address;
}
