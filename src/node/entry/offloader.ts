/**
 * Decides whether a model call runs in another domain, and sends it there. A
 * call that was forwarded here is never sent on.
 */
import type {ServerResponse} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {chooseDomain} from '../decisions/offload/choose_domain.js';
import {findLink} from '../decisions/offload/price.js';
import type {OffloadChoice} from '../decisions/offload/types.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {GatewayError} from '../types/errors.js';
import {asId, type UpstreamId} from '../types/ids.js';
import type {AdmissionGate} from './admission_gate.js';
import type {CrashGuard} from './crash_guard.js';
import {admissionRequestOf, offloadRequestOf, poolOf} from './domain_choice.js';
import type {FleetState} from './fleet_state.js';
import {modelEnvelope, type Forwarder} from './forwarding.js';
import {isUpstreamLoss} from './model_attempt.js';
import type {ModelRequest} from './request.js';

const STEP = 'entry.offload';

/** The parts that an offloader works with. */
export interface OffloaderParts {
  readonly fleet: FleetState;
  readonly gate: AdmissionGate;
  readonly forwarder: Forwarder;
  readonly membership: MembershipView;
  readonly crashes: CrashGuard;
  readonly metrics: MetricsRegistry;
  readonly configuration: () => Configuration;
  readonly random: () => number;
}

/** A place in another domain. */
export type AwayChoice = Extract<OffloadChoice, {kind: 'away'}>;

/** Sends model calls to other domains when that pays. */
export class Offloader {
  /** Pools and ranks whose last call was sent away; see `awayHysteresis`. */
  private readonly wasAway = new Set<string>();

  constructor(private readonly parts: OffloaderParts) {}

  /** Where a call should run. `isRefused`: this domain did not take it. */
  choose(request: ModelRequest, isRefused = false): OffloadChoice {
    const {fleet, gate, configuration} = this.parts;
    const nowMs = monotonicNowMs();
    const view = fleet.view(nowMs);
    const preview = gate.preview(
      admissionRequestOf(configuration(), fleet, request),
    );
    const key = `${poolOf(request)} ${request.rank.rankId}`;
    const offload = offloadRequestOf({
      request,
      configuration: configuration(),
      view,
      preview,
      backlogMs: gate.backlogMs(poolOf(request), request.rank.rankId),
      firstTokenMs: fleet.firstTokenMs(poolOf(request)),
      wasAway: this.wasAway.has(key),
      nowMs,
    });
    const {links, policy} = configuration();
    const choice = chooseDomain(
      isRefused ? {...offload, isRejectedLocally: true} : offload,
      view,
      links,
      policy,
      nowMs,
    );
    if (choice.kind === 'away') this.wasAway.add(key);
    else this.wasAway.delete(key);
    return choice;
  }

  /** Sends a call away; resolves with the error if it was not answered. */
  async send(
    request: ModelRequest,
    choice: AwayChoice,
    startedAtMs: number,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<GatewayError | undefined> {
    const {fleet, forwarder, metrics, configuration} = this.parts;
    const {domainId} = choice;
    const address = this.entryOf(domainId);
    if (address === undefined) return noEntryError(domainId);
    fleet.recordForwarded(domainId, poolOf(request));
    metrics.count('forwarded_total', {
      rank: request.rank.rankId,
      domain: domainId,
    });
    const nowMs = monotonicNowMs();
    const envelope = modelEnvelope(
      request,
      this.firstTokenAllowedMs(request, choice, startedAtMs, nowMs),
      this.parts.crashes.lostUpstreamIds(request.digest),
      nowMs,
    );
    try {
      const {policy} = configuration();
      await forwarder.forward(address, envelope, response, signal, policy);
      return undefined;
    } catch (thrown) {
      const error = thrown as GatewayError;
      // Gossip may bring the loss only after this instance's own next try.
      if (isUpstreamLoss(error)) {
        const lost = asId<UpstreamId>(error.peer);
        this.parts.crashes.learnLosses(request.digest, [lost]);
      }
      return error;
    }
  }

  // What the target of the rank leaves after the time spent here and the way
  // there and back.
  private firstTokenAllowedMs(
    request: ModelRequest,
    choice: AwayChoice,
    startedAtMs: number,
    nowMs: number,
  ): number {
    const {fleet, configuration} = this.parts;
    const {regionId} = fleet.identity;
    const link = findLink(configuration().links, regionId, choice.regionId);
    const wayMs = 2 * (link?.oneWayDelayMs ?? 0);
    return request.rank.firstTokenTargetMs - (nowMs - startedAtMs) - wayMs;
  }

  private entryOf(domainId: string): string | undefined {
    const summary = this.parts.membership
      .domainSummaries()
      .find(each => each.domainId === domainId);
    const entries = summary?.entries ?? [];
    const index = Math.floor(this.parts.random() * entries.length);
    return entries[index]?.innerAddress;
  }
}

function noEntryError(domainId: string): GatewayError {
  return new GatewayError({
    code: 'unreachable',
    message: 'no entry of the domain is known',
    step: STEP,
    peer: domainId,
    work: 'not_run',
  });
}
