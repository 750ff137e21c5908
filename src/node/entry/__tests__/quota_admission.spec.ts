import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {QuotaConfig} from '../../config/configuration.js';
import type {Admission} from '../../quotas/entry_quotas.js';
import {unitsOf, type QuotaGate} from '../../quotas/quota_gate.js';
import type {WorkspaceSpec} from '../../routes/route_table.js';
import {GatewayError, type WorkState} from '../../types/errors.js';
import {QuotaAdmission} from '../quota_admission.js';
import type {ModelRequest, ServiceRequest} from '../request.js';

const QUOTA: QuotaConfig = {
  unit: 'tokens',
  ratePerS: 10,
  burst: 0,
  plainTokens: 7,
};

function workspace(quota?: QuotaConfig) {
  return {
    workspaceId: 'blue',
    keyDigests: [],
    allowedRegionIds: [],
    ...(quota === undefined ? {} : {quota}),
  };
}

function modelCall(quota?: QuotaConfig): ModelRequest {
  return {
    workspace: workspace(quota),
    body: Buffer.alloc(401),
    expectedTokens: 64,
  } as unknown as ModelRequest;
}

function serviceCall(idempotencyKey?: string): ServiceRequest {
  const request = {workspace: workspace(QUOTA), idempotencyKey};
  return request as unknown as ServiceRequest;
}

/** Admits up to `leftUnits` and notes what is charged and given back. */
function admissionWith(leftUnits: number) {
  const notes: (readonly [string, number])[] = [];
  const gate = {
    admit: (
      spec: WorkspaceSpec,
      prompt: Parameters<QuotaGate['admit']>[1],
    ): Promise<Admission> => {
      const units = unitsOf(spec.quota as QuotaConfig, prompt);
      if (units > leftUnits) {
        return Promise.resolve({kind: 'refused', retryAfterMs: 900});
      }
      notes.push(['charged', units]);
      const charge = {workspace: spec.name, units};
      return Promise.resolve({kind: 'admitted', charge});
    },
    refund: ({units}: {units: number}) => void notes.push(['refunded', units]),
  };
  return {admission: new QuotaAdmission(gate as unknown as QuotaGate), notes};
}

const ran = (): Promise<void> => Promise.resolve();

function failing(work: WorkState): () => Promise<void> {
  const error = {
    code: 'unreachable',
    message: '',
    step: 's',
    peer: 'p',
  } as const;
  return () => Promise.reject(new GatewayError({...error, work}));
}

async function errorOf(promise: Promise<void>): Promise<unknown> {
  const error = await promise.catch((thrown: unknown) => thrown);
  if (!(error instanceof GatewayError)) return 'none';
  return [error.code, error.work, error.retryAfterMs];
}

// Guards against calls that a quota of tokens does not count, and against callers
// without a quota who are charged.
test('calls are charged by their tokens, services as plain', async () => {
  const {admission, notes} = admissionWith(1_000);
  await admission.runModel(modelCall(QUOTA), ran);
  await admission.runModel(modelCall(), ran);
  await admission.runService(serviceCall(), ran);
  assert.deepEqual(notes, [
    ['charged', 165],
    ['charged', 7],
  ]);
});

// Guards against a quota that is used up by calls that no upstream ran, and against one
// that is given back for calls that ran.
test('only what did not run is given back', async () => {
  const {admission, notes} = admissionWith(1_000);
  await errorOf(admission.runService(serviceCall(), failing('not_run')));
  await errorOf(admission.runService(serviceCall(), failing('unknown')));
  assert.deepEqual(notes, [
    ['charged', 7],
    ['refunded', 7],
    ['charged', 7],
  ]);
});

// Guards against a caller who repeats a call under another key because it is told that
// it did not run, although its first try may have run.
test('a refusal says that a call did not run only if that is certain', async () => {
  const {admission, notes} = admissionWith(0);
  const errors = [
    await errorOf(admission.runModel(modelCall(QUOTA), ran)),
    await errorOf(admission.runService(serviceCall(), ran)),
    await errorOf(admission.runService(serviceCall('used-before'), ran)),
  ];
  assert.deepEqual(errors, [
    ['overloaded', 'not_run', 900],
    ['overloaded', 'not_run', 900],
    ['overloaded', 'unknown', 900],
  ]);
  assert.deepEqual(notes, []);
});
