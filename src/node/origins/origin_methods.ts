/** RPC methods of an instance that keeps origins of streams. */
import {monotonicNowMs} from '../clock/clock.js';
import type {RpcRouter} from '../rpc/rpc.js';
import {
  FIND_ORIGIN_METHOD,
  NOTE_ORIGINS_METHOD,
  originBatchSchema,
  originQuestionSchema,
  type OriginBatch,
  type OriginReply,
} from './messages.js';
import type {OriginStore} from './origin_store.js';

/** `onNoted` is called with each batch that has been kept. */
export function registerOriginMethods(
  router: RpcRouter,
  store: OriginStore,
  onNoted: (batch: OriginBatch) => void = () => undefined,
): void {
  router.register(NOTE_ORIGINS_METHOD, originBatchSchema, batch => {
    const nowMs = monotonicNowMs();
    batch.origins.forEach(origin => store.add(origin, nowMs));
    onNoted(batch);
    return {};
  });
  router.register(
    FIND_ORIGIN_METHOD,
    originQuestionSchema,
    ({attemptId}): OriginReply => {
      const origin = store.find(attemptId, monotonicNowMs());
      return origin === undefined ? {} : {origin};
    },
  );
}
