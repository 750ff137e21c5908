/** Tells operators how the quotas are used, and which workspaces are limited. */
import {z} from 'zod';
import type {RpcRouter} from '../rpc/rpc.js';
import {instantNow} from './instant.js';
import type {QuotaLeader} from './quota_leader.js';

export const QUOTA_STATUS_METHOD = 'quotas.status';

export function registerQuotaStatus(
  router: RpcRouter,
  leader: QuotaLeader,
): void {
  router.register(QUOTA_STATUS_METHOD, z.object({}), () =>
    leader.status(instantNow()),
  );
}
