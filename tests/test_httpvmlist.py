"""The client of the VM list against its stand-in, over real connections."""

import pytest

from chivespan.httpvmlist import HttpVmList
from chivespan.messages import VmState
from chivespan.platformservices import ListedVm
from standins.serving import serving
from standins.vmlist import VmEntry, VmListStandIn

pytestmark = pytest.mark.anyio


async def test_an_unchanged_list_is_not_sent_again() -> None:
    entry = VmEntry("127.0.0.1", "c", "r")
    stand_in = VmListStandIn(vms=(entry,))
    async with serving(stand_in) as (address,):
        client = HttpVmList(f"http://{address}")
        first = await client.fetch()
        assert first == (ListedVm("127.0.0.1", "c", "r", VmState.live),)
        assert await client.fetch() is first
        stand_in.set((entry, VmEntry("127.0.0.2", "c", "r", "leaving")))
        second = await client.fetch()
        assert [each.vm for each in second] == ["127.0.0.1", "127.0.0.2"]
        assert await client.fetch() is second
        await client.close()
