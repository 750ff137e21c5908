/** Passes the requests of callers through the quota of their workspace. */
import type {QuotaCharge} from '../quotas/entry_quotas.js';
import type {QuotaGate} from '../quotas/quota_gate.js';
import type {CallerResponse} from './caller_response.js';
import {sendOverQuota} from './error_responses.js';
import type {RequestLog} from './request_log.js';
import type {InboundRequest} from './types.js';

/** An admitted request; without a charge if it has no quota. */
export interface AdmittedRequest {
  readonly charge: QuotaCharge | undefined;
}

export class QuotaAdmission {
  constructor(
    private readonly gate: QuotaGate,
    private readonly log: RequestLog,
  ) {}

  /** Charges a request, or refuses it and returns `undefined`. */
  async admit(
    request: InboundRequest,
    response: CallerResponse,
  ): Promise<AdmittedRequest | undefined> {
    const {workspace, traits, requestId, tableVersion, route} = request;
    if (workspace?.quota === undefined) return {charge: undefined};
    const admission = await this.gate.admit(
      workspace,
      traits.prompt,
      route.targetLatencyMs,
    );
    if (admission.kind === 'admitted') return admission;
    const {retryAfterMs} = admission;
    const status = sendOverQuota(response, retryAfterMs);
    const figures = {
      workspace: workspace.name,
      retryAfterMs: Math.round(retryAfterMs),
      ...this.gate.figures(workspace, traits.prompt),
    };
    this.log.rejected(requestId, 'over_quota', status, tableVersion, figures);
    return undefined;
  }

  /** Gives back the charge of a request that no upstream has run. */
  giveBack({charge}: AdmittedRequest): void {
    if (charge !== undefined) this.gate.refund(charge);
  }
}
