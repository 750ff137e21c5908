/**
 * An actor that handles all messages of its mailbox in one turn of the event loop. The
 * library's actors take one message a turn, and a busy process has few turns.
 */
import {dispatch, spawn, start, stop} from 'nact';

export interface BatchingActorOptions<Message> {
  readonly name: string;
  readonly handle: (message: Message) => void;
  /** Called after the messages of a turn, those that failed included. */
  readonly onBatch: (messages: readonly Message[]) => void;
  /** Called for a message whose handling threw; the next ones are handled. */
  readonly onFailure: (message: Message | undefined, thrown: unknown) => void;
}

/** Handles messages one at a time, in the order in which they were sent. */
export class BatchingActor<Message> {
  private readonly system = start();
  private readonly actor;
  private mailbox: Message[] = [];
  private isStopped = false;

  constructor(private readonly options: BatchingActorOptions<Message>) {
    this.actor = spawn(this.system, () => this.takeAll(), options.name, {
      onCrash: (_message, error, context) => {
        options.onFailure(undefined, error);
        return context.resume;
      },
    });
  }

  send(message: Message): void {
    if (this.isStopped) return;
    this.mailbox.push(message);
    if (this.mailbox.length === 1) dispatch(this.actor, undefined);
  }

  stop(): void {
    this.isStopped = true;
    stop(this.system);
  }

  private takeAll(): undefined {
    const messages = this.mailbox;
    this.mailbox = [];
    messages.forEach(message => this.handle(message));
    this.options.onBatch(messages);
    return undefined;
  }

  private handle(message: Message): void {
    try {
      this.options.handle(message);
    } catch (thrown) {
      this.options.onFailure(message, thrown);
    }
  }
}
