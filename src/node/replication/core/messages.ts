/** Messages between members, and their validation on arrival. */
import {z} from 'zod';
import {asId, type MemberId} from '../../types/ids.js';

const memberId = z.string().transform(value => asId<MemberId>(value));
const nonNegativeInt = z.number().int().nonnegative();

export const memberSchema = z.object({
  memberId,
  address: z.string(),
  weight: z.number().int().nonnegative(),
});

const entry = z.object({
  index: nonNegativeInt,
  term: nonNegativeInt,
  kind: z.enum(['command', 'members', 'noop']),
  value: z.unknown().optional(),
});

const voteRequest = z.object({
  kind: z.enum(['pre_vote', 'vote']),
  /** For `pre_vote`, the term that the sender would start. */
  term: nonNegativeInt,
  lastIndex: nonNegativeInt,
  lastTerm: nonNegativeInt,
  /** The current leader asked the sender to take over. */
  transfer: z.boolean(),
});

const appendRequest = z.object({
  kind: z.literal('append'),
  term: nonNegativeInt,
  prevIndex: nonNegativeInt,
  prevTerm: nonNegativeInt,
  entries: z.array(entry),
  commitIndex: nonNegativeInt,
  /** The leader's latest heartbeat round; the reply returns it for reads. */
  round: nonNegativeInt,
});

const snapshotRequest = z.object({
  kind: z.literal('snapshot'),
  term: nonNegativeInt,
  index: nonNegativeInt,
  indexTerm: nonNegativeInt,
  members: z.array(memberSchema),
  /** JSON of the state, or a part of it that starts at `offset`. */
  data: z.string(),
  offset: nonNegativeInt,
  isLast: z.boolean(),
});

const timeoutNowRequest = z.object({
  kind: z.literal('timeout_now'),
  term: nonNegativeInt,
});

export const requestSchema = z.discriminatedUnion('kind', [
  voteRequest,
  appendRequest,
  snapshotRequest,
  timeoutNowRequest,
]);

const voteReply = z.object({
  kind: z.enum(['pre_vote_reply', 'vote_reply']),
  /** The current term of the replying member. */
  term: nonNegativeInt,
  /** The term of the request. */
  askedTerm: nonNegativeInt,
  granted: z.boolean(),
});

const appendReply = z.object({
  kind: z.literal('append_reply'),
  term: nonNegativeInt,
  success: z.boolean(),
  /** On success, the last index that matches the leader's log and is synced. */
  matchIndex: nonNegativeInt,
  /** On failure, the index at which the leader should retry. */
  conflictIndex: nonNegativeInt,
  round: nonNegativeInt,
});

const doneReply = z.object({kind: z.literal('done'), term: nonNegativeInt});

export const replySchema = z.discriminatedUnion('kind', [
  voteReply,
  appendReply,
  doneReply,
]);

/** A request with the identities of its sender and its recipient. */
export const envelopeSchema = z.object({
  from: memberId,
  to: memberId,
  request: requestSchema,
});

export type VoteRequest = z.output<typeof voteRequest>;
export type AppendRequest = z.output<typeof appendRequest>;
export type SnapshotRequest = z.output<typeof snapshotRequest>;
export type TimeoutNowRequest = z.output<typeof timeoutNowRequest>;
export type PeerRequest = z.output<typeof requestSchema>;
export type VoteReply = z.output<typeof voteReply>;
export type AppendReply = z.output<typeof appendReply>;
export type PeerReply = z.output<typeof replySchema>;
export type Envelope = z.output<typeof envelopeSchema>;
