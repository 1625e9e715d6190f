/** Appends a leader's entries to this member's log. */
import {
  acknowledgeAppend,
  decideAppend,
  type AppendReply,
  type AppendRequest,
} from "../../consensus/append.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LogApplier } from "./log-applier.js";
import type { LogWriter } from "./log-writer.js";

/** The dependencies of a follower's log. */
export interface FollowerLogOptions {
  readonly consensus: ConsensusOwner;
  readonly writer: LogWriter;
  readonly applier: LogApplier;
}

/** Handles the append requests that a follower receives. */
export class FollowerLog {
  private readonly options: FollowerLogOptions;

  constructor(options: FollowerLogOptions) {
    this.options = options;
  }

  /** Appends a leader's entries and acknowledges them once they are on disk, or refuses the request. */
  onAppend(request: AppendRequest, respond: (reply: AppendReply) => void): void {
    const { consensus, writer, applier } = this.options;
    const decision = decideAppend(consensus.current, request, consensus.context);
    consensus.update(decision.state);
    if (decision.kind === "refuse") return respond(decision.reply);
    const { records, mustSync, pending } = decision;
    const acknowledge = (): void => {
      const acknowledged = acknowledgeAppend(consensus.current, pending, consensus.context);
      consensus.update(acknowledged.state);
      respond(acknowledged.reply);
    };
    if (mustSync) writer.append([...records], acknowledge);
    else acknowledge();
    applier.advance(consensus.current);
  }
}
