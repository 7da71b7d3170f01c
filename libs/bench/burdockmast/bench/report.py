"""Figures in words."""

from burdockmast.bench import measures


def line(found: measures.Figures) -> str:
    """Return a load's figures as a few lines of text."""
    first, gap = found.first_token, found.between_tokens
    lines = [
        f'{found.name}: {found.throughput:.0f} tokens/s, '
        f'{found.ratio:.2f} of the bound {found.bound:.0f} '
        f'(offered {found.offered:.0f}, goodput {found.goodput:.0f})',
        f'  first token {first.p50:.0f}/{first.p95:.0f}/{first.p99:.0f} ms, '
        f'between tokens {gap.p50:.0f}/{gap.p95:.0f}/{gap.p99:.0f} ms, '
        f'reads {found.reads.p95:.0f} ms, '
        f'commands {found.commands.p95:.0f} ms (95 in 100)',
        f'  cut {found.cut}, wrong {found.wrong}, double runs '
        f'{found.double_runs}, errors {found.errors or "none"}, '
        f'prefilled {found.prefilled:.2f} of all prompts',
    ]
    if found.recovery:
        lines.append(
            f'  recovery of {found.recovery.count} open answers: '
            f'{found.recovery.p95:.0f} ms (95 in 100), '
            f'{found.recovery.most:.0f} ms at most'
        )
    return '\n'.join(lines)
