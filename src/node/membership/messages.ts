/** Messages to the membership actor, and calls to peers with one retry. */
import {errAsync, type ResultAsync} from 'neverthrow';
import type {GatewayError} from '../types/errors.js';
import type {ConfigVersion, DomainId, UpstreamId} from '../types/ids.js';
import type {Digest} from './digest.js';
import type {
  LoadReport,
  MemberState,
  ModelOffer,
  QuarantineEntry,
} from './items.js';
import type {SummaryTarget} from './summaries.js';
import type {MembershipOptions} from './membership.js';
import type {
  ExchangeAnswer,
  SummaryAnswer,
  OriginNames,
  WireDelta,
  WireExchange,
  WirePush,
  WireQuarantine,
} from './wire.js';

/** Options with their defaults applied. */
export type ResolvedOptions = Required<MembershipOptions>;

interface ReplyCallbacks<Answer> {
  readonly resolve: (answer: Answer) => void;
  readonly reject: (error: unknown) => void;
}

/** A message to the membership actor. */
export type Message =
  | {readonly kind: 'round'}
  | ({
      readonly kind: 'exchange';
      readonly request: WireExchange;
    } & ReplyCallbacks<ExchangeAnswer>)
  | ({
      readonly kind: 'push';
      readonly request: WirePush;
    } & ReplyCallbacks<object>)
  | ({
      readonly kind: 'summary';
      readonly request: {
        readonly b: number;
        readonly u: WireDelta;
        readonly q: WireQuarantine[];
      };
    } & ReplyCallbacks<SummaryAnswer>)
  | ({
      readonly kind: 'quarantine_notice';
      readonly request: {readonly q: WireQuarantine[]};
    } & ReplyCallbacks<object>)
  | {readonly kind: 'summary_refused'; readonly target: SummaryTarget}
  | {
      readonly kind: 'summary_result';
      readonly domainId: DomainId;
      readonly succeeded: boolean;
      /**
       * The own sequence number up to which the called instance has all items.
       */
      readonly seq: number;
      readonly sent: readonly QuarantineEntry[];
    }
  | {
      readonly kind: 'exchanged';
      readonly address: string;
      readonly answer: ExchangeAnswer;
      /**
       * The digest that was sent; `names` is set if it was sent in short form.
       */
      readonly asked: Digest;
      readonly names?: OriginNames;
      readonly done?: () => void;
    }
  | {readonly kind: 'exchange_failed'; readonly done?: () => void}
  | {readonly kind: 'retried'}
  | {
      readonly kind: 'member';
      readonly change: {
        readonly state?: MemberState;
        readonly configVersion?: ConfigVersion;
      };
    }
  | {
      readonly kind: 'in_flight';
      readonly counts: ReadonlyMap<UpstreamId, number>;
    }
  | {readonly kind: 'load'; readonly report: LoadReport}
  | {readonly kind: 'quarantine'; readonly entry: QuarantineEntry}
  | {readonly kind: 'offers'; readonly offers: readonly ModelOffer[]}
  | {readonly kind: 'leave'; readonly resolve: () => void};

export type MessageOf<Kind extends Message['kind']> = Extract<
  Message,
  {readonly kind: Kind}
>;

/** Sends a message to the membership actor. */
export type Send = (message: Message) => void;

/**
 * Calls a peer and retries once after a timeout or if it is unreachable. The
 * connection may have stalled, and the transport opens a fresh one after a
 * timeout.
 */
export function callWithRetry<Answer>(
  options: ResolvedOptions,
  send: Send,
  address: string,
  method: string,
  params: unknown,
  timeoutMs: number,
): ResultAsync<Answer, GatewayError> {
  const call = (): ResultAsync<Answer, GatewayError> =>
    options.rpcClient.call<Answer>(address, method, params, timeoutMs);
  return call().orElse(error => {
    if (error.code !== 'timeout' && error.code !== 'unreachable') {
      return errAsync(error);
    }
    send({kind: 'retried'});
    return call();
  });
}
