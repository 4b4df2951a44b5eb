"""A spot machine is taken back without notice. The job that ran on it is never offered to another spot machine, which
it may use and which has room, although no ordinary machine can be had."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins  # noqa: E402

# Settings and machine type of sites/nan-quito.toml, with fewer machines.
TEAMS = [("minga-news", 16.0, 56.0), ("yachay", 24.0, 32.0), ("condor", 8.0, 100.0), ("totora", 24.0, 72.0),
         ("llama", 16.0, 70.0)]
FACTS = {
    "size": 3,
    "teams": [{"name": n, "cpus": 0.0, "cpus_max": 0.0, "gpus": g, "gpus_max": m} for n, g, m in TEAMS],
    "objectives": [
        {"kind": "wait", "class": "chasqui-live", "within_s": 18.0, "share": 0.9},
        {"kind": "finished", "class": "quillca-batch", "within_s": 200.0, "share": 0.9},
        {"kind": "finished", "class": "quillca-batch", "within_s": 300.0, "share": 0.96},
        {"kind": "guarantee", "class": "", "within_s": 15.0, "share": 0.9},
    ],
    "workers": {"report_s": 2.0, "lease_s": 14.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 44.0},
    "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 20},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "machine_limits": {"core_share": 0.12, "ram_mb": 72.0, "max_sockets": 1500},
}
RIG = {"label": "yaku-rack", "cores": 24.0, "cards": 2.0, "ramGb": 96.0, "localGb": 100.0, "fetchGbPerS": 0.4,
       "rate": 7.53, "lowPrice": 2.24, "bootS": 60.0, "yards": ["azuay", "manabi", "pichincha"]}
CAPACITY = {("pichincha", False): 1, ("azuay", True): 1, ("manabi", True): 1}


def make_site(folder):
    return stand_ins.Site(folder, ["pichincha", "azuay", "manabi"], FACTS, RIG, CAPACITY, boot_s=1.2)


async def scenario(site):
    await site.wait_ready()
    lives = [
        site.job(f"j-00000{i}", None, lane="chasqui-live", crew="minga-news", shape="standing", rank="critical",
                 cores=8.0, cards=1.0, ramGb=29.0, spread=True)
        for i in (1, 2)
    ]
    if not all(await asyncio.gather(*(job.submit() for job in lives))):
        raise stand_ins.CouldNotRun("a service was not accepted")
    await site.until("all services run", lambda: all(job.starts for job in lives), 25.0)

    def batch(name, run_s):
        return site.job(name, run_s, lane="quillca-batch", crew="yachay", cores=10.0, cards=1.0, ramGb=36.0,
                        loaners=True, expectS=70.0)

    # Two jobs fill one spot machine; the third one gets the other.
    long, short, last = batch("j-000101", 300.0), batch("j-000102", 10.0), batch("j-000103", 20.0)
    if not all(await asyncio.gather(long.submit(), short.submit())):
        raise stand_ins.CouldNotRun("a job was not accepted")
    await site.until("two jobs run", lambda: long.starts and short.starts, 15.0)
    if not await last.submit():
        raise stand_ins.CouldNotRun("a job was not accepted")
    await site.until("the third job runs", lambda: last.starts, 12.0)
    asyncio.ensure_future(last.poll())
    spot = [m for m in site.machines() if m.spot]
    if len(spot) != 2:
        raise stand_ins.CouldNotRun(f"{len(spot)} spot machines in place of two")
    home = next(m for m in spot if m.name == last.starts[-1][1])
    if home.name in (long.starts[-1][1], short.starts[-1][1]):
        raise stand_ins.CouldNotRun("the jobs lie on the same machine")
    if site.trouble:
        await asyncio.sleep(3.0)  # the worker has reported the task as running
        site.cloud.remove(home, "taken back by the cloud, without notice")
    site.trouble_over_at = time.monotonic()
    until = time.monotonic() + stand_ins.LEFT_WAITING_S + 9.0
    while time.monotonic() < until and not last.finished and not site.left_waiting:
        await asyncio.sleep(0.1)
    if not last.finished and not site.left_waiting:
        raise stand_ins.CouldNotRun("the job neither ended nor waited for long enough")
    return bool(site.left_waiting)


sys.exit(stand_ins.main(FOLDER, make_site, scenario))
