/** Passes the requests of callers through the quota of their workspace. */
import type {WorkspaceConfig} from '../config/configuration.js';
import type {QuotaGate} from '../quotas/quota_gate.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import {specOf} from '../workspaces/configured_workspace.js';
import type {ModelRequest, ServiceRequest} from './request.js';
import {withUnknownOutcome} from './unknown_outcome.js';

const STEP = 'entry.quota';
/** The gate waits a quarter of it for a grant; all ranks have longer targets. */
const ASSUMED_TARGET_LATENCY_MS = 1_000;
/** Engines count tokens themselves; before that, the size of a body has to do. */
const BYTES_PER_TOKEN = 4;

interface RequestTokens {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Charges requests of callers; those that another entry forwards are charged there. */
export class QuotaAdmission {
  constructor(private readonly gate: QuotaGate) {}

  /** Runs a model call within its quota. */
  runModel(request: ModelRequest, run: () => Promise<void>): Promise<void> {
    const tokens = {
      promptTokens: Math.ceil(request.body.length / BYTES_PER_TOKEN),
      maxOutputTokens: request.expectedTokens,
    };
    return this.run(request.workspace, tokens, run);
  }

  /** Runs a call to a plain service, which has no tokens, within its quota. */
  async runService(
    {workspace, idempotencyKey}: ServiceRequest,
    run: () => Promise<void>,
  ): Promise<void> {
    try {
      await this.run(workspace, undefined, run);
    } catch (thrown) {
      const error = toGatewayError(thrown, STEP, 'self');
      // The record of the key has not been read yet.
      const isUnread = error.step === STEP && idempotencyKey !== undefined;
      throw isUnread ? withUnknownOutcome(error) : error;
    }
  }

  private async run(
    workspace: WorkspaceConfig,
    tokens: RequestTokens | undefined,
    run: () => Promise<void>,
  ): Promise<void> {
    if (workspace.quota === undefined) return run();
    const admission = await this.gate.admit(
      specOf(workspace),
      tokens,
      ASSUMED_TARGET_LATENCY_MS,
    );
    if (admission.kind === 'refused') {
      throw overQuota(workspace, admission.retryAfterMs);
    }
    try {
      await run();
    } catch (thrown) {
      const error = toGatewayError(thrown, STEP, 'self');
      if (error.work === 'not_run') this.gate.refund(admission.charge);
      throw thrown;
    }
  }
}

function overQuota(
  {workspaceId, quota}: WorkspaceConfig,
  retryAfterMs: number,
): GatewayError {
  return new GatewayError({
    code: 'overloaded',
    message: `workspace ${workspaceId} has used its quota of ${quota?.ratePerS} ${quota?.unit} a second`,
    step: STEP,
    peer: 'caller',
    retryAfterMs,
  });
}
