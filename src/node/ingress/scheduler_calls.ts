/** RPC methods for scheduling between entries. */
import {z} from 'zod';
import {monotonicNowMs} from '../clock/clock.js';
import type {DecisionSender} from '../dispatch/decision_sender.js';
import type {ListReader} from '../dispatch/list_reader.js';
import {
  decisionBatchSchema,
  DECIDE_METHOD,
  DIGEST_METHOD,
  digestBatchSchema,
  PROBE_METHOD,
  probeRequestSchema,
  READ_LIST_METHOD,
  READ_REGION_METHOD,
  readListSchema,
  SUBMIT_METHOD,
  type SubmissionReply,
  submissionSchema,
  type SuspectBatch,
  suspectBatchSchema,
  SUSPECTS_METHOD,
} from '../dispatch/messages.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {SchedulerHost} from '../dispatch/scheduler_host.js';
import type {UpstreamFeed} from '../dispatch/upstream_feed.js';
import type {RpcRouter} from '../rpc/rpc.js';

/** The components that handle the calls. */
export interface SchedulerMethodDependencies {
  /** Incarnation of this process, so that callers detect a restart. */
  readonly incarnation: () => number;
  readonly host: SchedulerHost;
  readonly decisions: DecisionSender;
  readonly scheduler: SchedulerClient;
  readonly listReader: Pick<ListReader, 'share'>;
  readonly feed: Pick<UpstreamFeed, 'list' | 'health'>;
}

export function registerSchedulerMethods(
  router: RpcRouter,
  dependencies: SchedulerMethodDependencies,
): void {
  const {incarnation, host, decisions, scheduler, listReader, feed} =
    dependencies;
  router.register(
    SUBMIT_METHOD,
    submissionSchema,
    async ({parts}, {sender}): Promise<SubmissionReply> => {
      const decided = await decisions.collect(sender, () =>
        host.submit(sender, parts),
      );
      return {incarnation: incarnation(), decisions: decided};
    },
  );
  router.register(DECIDE_METHOD, decisionBatchSchema, (batch, {sender}) => {
    scheduler.deliver(sender, batch.decisions);
    return {};
  });
  router.register(READ_REGION_METHOD, z.object({}), () => listReader.share());
  router.register(PROBE_METHOD, probeRequestSchema, ({address, path}) =>
    feed.health(address, path),
  );
  router.register(READ_LIST_METHOD, readListSchema, ({domain}) =>
    feed.list(domain),
  );
  router.register(
    SUSPECTS_METHOD,
    suspectBatchSchema,
    ({reports, isQuestion}): SuspectBatch => {
      const nowMs = monotonicNowMs();
      host.evidence.merge(reports, nowMs);
      return {reports: isQuestion ? host.evidence.reports(nowMs) : []};
    },
  );
  router.register(DIGEST_METHOD, digestBatchSchema, ({digests}) => {
    host.recordDigests(digests);
    return {};
  });
}
