/** Requests of other members to which the core has not replied yet. */
import type {GatewayError} from '../types/errors.js';
import type {PeerReply} from './core/messages.js';

interface PendingCall {
  readonly resolve: (reply: PeerReply) => void;
  readonly reject: (error: GatewayError) => void;
}

export class PendingCalls {
  private readonly calls = new Map<number, PendingCall>();
  private lastId = 0;

  /** Starts a call and passes its id to `begin`. */
  start(begin: (callId: number) => void): Promise<PeerReply> {
    const callId = ++this.lastId;
    return new Promise((resolve, reject) => {
      this.calls.set(callId, {resolve, reject});
      begin(callId);
    });
  }

  respond(callId: number, reply: PeerReply): void {
    this.calls.get(callId)?.resolve(reply);
    this.calls.delete(callId);
  }

  failAll(error: GatewayError): void {
    this.calls.forEach(call => call.reject(error));
    this.calls.clear();
  }
}
