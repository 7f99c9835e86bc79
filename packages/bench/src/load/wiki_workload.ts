import type { SeededRandom } from "../seeded_random.js";
import type { PlannedRequest } from "./planned_request.js";
import { textOfTokens } from "./text_generator.js";
import { GrowingChat, randomPage, Workload } from "./workload.js";

const PAGES_PER_ACCOUNT = 6;
const PAGE_TOKENS = 2000;
const QUESTION_TOKENS = 220;
const MAX_TURNS = 12;
/**
 * One in this many pages of an account is large. A large page is
 * `largeChatFactor` times as long as the others.
 */
const PAGES_PER_LARGE_PAGE = 12;

/**
 * Sends chats about long pages; the chats of an account share a few pages.
 * Chats return after pauses and grow with every turn. A quarter of the turns
 * are tags, which have short questions and answers.
 */
export class WikiWorkload extends Workload {
  readonly name = "wiki";
  readonly #pages = new Map<string, string[]>();
  readonly #chats: GrowingChat[] = [];
  #nextChat = 0;

  protected override prepare(random: SeededRandom): void {
    for (const { name } of this.options.accounts) {
      const pages: string[] = [];
      for (let i = 0; i < PAGES_PER_ACCOUNT; i++) {
        const isLarge = i % PAGES_PER_LARGE_PAGE === 0;
        const factor = isLarge ? this.options.largeChatFactor : 1;
        pages.push(randomPage(PAGE_TOKENS * factor, random));
      }
      this.#pages.set(name, pages);
    }
  }

  protected override planRequest(
    atMs: number,
    random: SeededRandom,
  ): PlannedRequest {
    const chat = this.#chooseChat(atMs, random);
    const isTag = random.chance(0.25);
    return chat.nextTurn(atMs, {
      label: isTag ? "tag" : "summary",
      question: textOfTokens(
        isTag ? QUESTION_TOKENS / 4 : QUESTION_TOKENS,
        random,
      ),
      maxTokens: isTag ? 4 : random.int(16, 40),
      stream: random.chance(0.9),
      answer: this.options.answer,
    });
  }

  #chooseChat(atMs: number, random: SeededRandom): GrowingChat {
    const account = this.pickAccount(random);
    const idleChats = this.#chats.filter((chat) =>
      chat.account === account && chat.turnCount < MAX_TURNS &&
      chat.lastAtMs + this.options.minPauseMs <= atMs
    );
    if (
      idleChats.length > 0 && !random.chance(this.options.newChatProbability)
    ) {
      return random.pick(idleChats);
    }
    const pages = this.#pages.get(account) ?? [];
    const chat = new GrowingChat(
      `wiki-${this.#nextChat++}`,
      account,
      random.pick(pages),
    );
    this.#chats.push(chat);
    return chat;
  }
}
